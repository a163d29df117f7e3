package wire

// LeaderView is what a controller tells its peers of the leader. Format 5.
type LeaderView struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack  struct{} `msgpack:",omitempty"`
	Term      uint64
	SilenceMS int64 // since the sender last heard a heartbeat
	Broken    bool  // the sender's connection to the leader has broken
	Suspected bool
}

// LeaderHeartbeat is what a leader that may be replaced early sends to each peer, by net/rpc
// only. Format 5.
type LeaderHeartbeat struct {
	From, Life string
	Term       uint64
	Standby    string // the controller that is to take over first; "" if none is fit
}

// Takeovers are the last claims that replaced a live leader, the newest last. They are
// for operators; a listing that has them also says that such claims may have been made
// lately.
type Takeovers struct {
	List []Takeover `msgpack:"l"`
}

// Takeover is one of them. Times are in milliseconds.
type Takeover struct {
	From       string `msgpack:"f" json:"from"`
	To         string `msgpack:"t" json:"to"`
	Replaced   uint64 `msgpack:"r" json:"replaced_term"`
	At         int64  `msgpack:"at" json:"at_unix_ms"` // the time of day of the claim
	SilenceMS  int64  `msgpack:"si" json:"silence_ms"` // of the replaced leader at the claim
	Broken     bool   `msgpack:"b,omitempty" json:"connection_broken"`
	Suspecting int    `msgpack:"su" json:"suspecting"` // controllers that suspected it
	Hearing    int    `msgpack:"he,omitempty" json:"hearing"`
	Members    int    `msgpack:"m" json:"members"`
	// StagesMS are the times from the last sign of the replaced leader until it was
	// suspected, the claim was sent, was seen, the new leader had caught up and made its
	// first decision. The last three are absent until then.
	StagesMS []int64 `msgpack:"st" json:"stages_ms"`
}

// LeadershipStatus is what a controller answers to the operators' question who leads and
// who stands by.
type LeadershipStatus struct {
	Controller string `json:"controller"`
	Leader     string `json:"leader"` // as its copy of the records has it
	Term       uint64 `json:"term"`
	Fenced     bool   `json:"fenced"` // the leader may be replaced early
	Streak     int    `json:"streak"`
	Standby    string `json:"standby"`    // that the leader names
	Revision   uint64 `json:"revision"`   // of its copy of the records
	SilenceMS  int64  `json:"silence_ms"` // of the leader
	Suspected  bool   `json:"suspected"`
	Suspecting int    `json:"suspecting"`
	Early      bool   `json:"early"`  // its setting: replace a leader early
	Agreed     int    `json:"format"` // the newest format that it sees all controllers read
	Served     bool   `json:"state_service"`
	PauseMS    int64  `json:"pause_ms"` // that the present leader leads before it is replaced early

	// Of the decision log, at the leader: how many messages and changed facts the standby
	// is behind, and how often the log began anew.
	LogMessages uint64 `json:"log_messages_behind"`
	LogFacts    int    `json:"log_facts_behind"`
	LogResyncs  int    `json:"log_resyncs"`
	// At a follower: the facts that it holds of the present leader, and messages dropped.
	LogHeld    int `json:"log_facts_held"`
	LogDropped int `json:"log_messages_dropped"`
}
