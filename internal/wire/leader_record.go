package wire

// Leader is the record of the leadership. The leader's term, which is its fencing token, is the
// revision at which the record was written.
type Leader struct {
	Controller  string `msgpack:"o"`
	Incarnation string `msgpack:"b"` // the leading process, as opposed to earlier ones of that controller

	// Fenced is set if this leader calls the cloud only while proofs of this claim are valid,
	// so that it may be replaced before its lease ends. Format 5.
	Fenced bool `msgpack:"f,omitempty"`
	// Streak is the number of consecutive claims, this one included, each of which replaced a
	// live leader soon after the one before; 0 for a claim that waited for the lease to end.
	// Format 5.
	Streak int `msgpack:"n,omitempty"`
}

// Takeovers is the record of the last claims that replaced a live leader, the newest last. It
// informs operators. A controller that finds it when it starts also assumes that such a claim
// was made a moment ago.
type Takeovers struct {
	List []Takeover `msgpack:"l"`
}

// Takeover describes a claim that replaced a live leader. The JSON names are those that
// `standby show --json` prints.
type Takeover struct {
	From       string `msgpack:"f" json:"from"`                        // the replaced leader
	To         string `msgpack:"t" json:"to"`                          // the new leader
	Replaced   uint64 `msgpack:"r" json:"replaced_term"`               // term of the replaced leader
	At         int64  `msgpack:"at" json:"at_unix_ms"`                 // wall-clock time of the claim, Unix ms
	SilenceMS  int64  `msgpack:"si" json:"silence_ms"`                 // since the last heartbeat of the replaced leader, at the claim
	Broken     bool   `msgpack:"b,omitempty" json:"connection_broken"` // the connection to it was broken
	Suspecting int    `msgpack:"su" json:"suspecting"`                 // number of controllers that suspected it
	Hearing    int    `msgpack:"he,omitempty" json:"hearing"`          // number of controllers that heard it
	Members    int    `msgpack:"m" json:"members"`                     // number of all controllers

	// StagesMS are the times in ms from the last heartbeat of the replaced leader until it was
	// suspected, the claim was sent, the claim was seen, the new leader had caught up, and the
	// new leader had made its first decision. The last three are absent until then.
	StagesMS []int64 `msgpack:"st" json:"stages_ms"`
}
