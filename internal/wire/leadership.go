package wire

// This file holds what controllers tell each other and their operators about the leadership.
// The messages are carried by net/rpc and gob, which carries the names of the fields, so they
// stay: Life is an incarnation. LeaderView is part of Gossip and also encoded as MessagePack.

// LeaderView is what a controller tells its peers about the leader. Format 5.
type LeaderView struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack  struct{} `msgpack:",omitempty"`
	Term      uint64   // of the leader
	SilenceMS int64    // since the sender received the leader's last heartbeat
	Broken    bool     // the sender's connection to the leader is broken
	Suspected bool     // the sender suspects that the leader has failed
}

// LeaderHeartbeat is the heartbeat that a leader which may be replaced early sends to each peer,
// by net/rpc only. Format 5.
type LeaderHeartbeat struct {
	From, Life string // name and incarnation of the leader
	Term       uint64
	Standby    string // the controller that is to take over first; "" if none is eligible
}

// LeadershipStatus is a controller's answer to operators about the leader and its standby. The
// JSON names are those that `standby show --json` prints.
type LeadershipStatus struct {
	Controller string `json:"controller"`
	Leader     string `json:"leader"`        // as the controller's replica of the records shows it; "" if none
	Term       uint64 `json:"term"`          // of the leader
	Fenced     bool   `json:"fenced"`        // the leader may be replaced before its lease ends
	Streak     int    `json:"streak"`        // see Leader.Streak
	Standby    string `json:"standby"`       // that the leader has named
	Revision   uint64 `json:"revision"`      // of the controller's replica of the records
	SilenceMS  int64  `json:"silence_ms"`    // since the leader's last heartbeat
	Suspected  bool   `json:"suspected"`     // the controller suspects that the leader has failed
	Suspecting int    `json:"suspecting"`    // number of controllers that do, as far as it knows
	Early      bool   `json:"early"`         // its setting: replace a failed leader early
	Agreed     int    `json:"format"`        // the newest format that all controllers read, as it sees it
	Served     bool   `json:"state_service"` // the state service answers it
	PauseMS    int64  `json:"pause_ms"`      // minimum tenure of the present leader

	// Of the decision log, at the leader: the messages and the changed facts that the standby
	// has not acknowledged, and the number of resynchronisations.
	LogMessages uint64 `json:"log_messages_behind"`
	LogFacts    int    `json:"log_facts_behind"`
	LogResyncs  int    `json:"log_resyncs"`
	// At a follower: the facts that it holds of the present leader, and the messages dropped.
	LogHeld    int `json:"log_facts_held"`
	LogDropped int `json:"log_messages_dropped"`
}
