package wire

// Leader is the record of the current claim to the leadership. The leader's term, which is its
// fencing token, is the revision at which the record was written.
type Leader struct {
	Controller  string `msgpack:"o"`
	Incarnation string `msgpack:"b"` // identifies the leading process among all processes of that controller

	// Fenced is set if this leader calls the cloud only while it has a valid proof of this
	// claim, so that it may be replaced before its lease expires. Format 5.
	Fenced bool `msgpack:"f,omitempty"`
	// Streak is the number of consecutive claims, this one included, each of which replaced a
	// leader before its lease expired and soon after that leader's own claim. It is 0 for a
	// claim that waited for the lease to expire. Format 5.
	Streak int `msgpack:"n,omitempty"`
}

// Takeovers is the record of the most recent claims that replaced a leader before its lease expired,
// the newest last. It is shown to operators. A controller that finds the record when it starts also
// assumes that such a claim has just been made.
type Takeovers struct {
	List []Takeover `msgpack:"l"`
}

// Takeover describes a claim that replaced a leader before its lease expired. The JSON names are
// printed by `standby show --json`.
type Takeover struct {
	From       string `msgpack:"f" json:"from"`                        // the replaced leader
	To         string `msgpack:"t" json:"to"`                          // the new leader
	Replaced   uint64 `msgpack:"r" json:"replaced_term"`               // term of the replaced leader
	At         int64  `msgpack:"at" json:"at_unix_ms"`                 // wall-clock time of the claim, Unix ms
	SilenceMS  int64  `msgpack:"si" json:"silence_ms"`                 // since the last heartbeat of the replaced leader, at the claim
	Broken     bool   `msgpack:"b,omitempty" json:"connection_broken"` // the new leader's connection to it was broken
	Suspecting int    `msgpack:"su" json:"suspecting"`                 // number of controllers that suspected it
	Hearing    int    `msgpack:"he,omitempty" json:"hearing"`          // number of controllers that still received its heartbeats
	Members    int    `msgpack:"m" json:"members"`                     // number of all controllers

	// StagesMS has the times in ms from the last heartbeat of the replaced leader to each stage
	// of the takeover: leader suspected, claim sent, claim seen, new leader caught up, and first
	// decision made. Stages that have not been reached are absent.
	StagesMS []int64 `msgpack:"st" json:"stages_ms"`
}
