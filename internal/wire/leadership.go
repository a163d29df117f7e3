package wire

// This file defines the messages about the leadership between controllers, and between controllers
// and operators. They are sent by net/rpc and encoded by gob, which transmits the names of the
// fields. These names therefore can't change; Life is an incarnation. LeaderView is part of Gossip
// and also encoded as MessagePack.

// LeaderView is the state of the leader as the sender of a Gossip message sees it. Format 5.
type LeaderView struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack  struct{} `msgpack:",omitempty"`
	Term      uint64   // of the leader
	SilenceMS int64    // since the sender received the leader's last heartbeat
	Broken    bool     // the sender's connection to the leader is broken
	Suspected bool     // the sender suspects that the leader has failed
}

// LeaderHeartbeat is the heartbeat that a leader sends to each peer if it may be replaced before its
// lease expires. It is sent by net/rpc only. Format 5.
type LeaderHeartbeat struct {
	From, Life string // name and incarnation of the leader
	Term       uint64
	Standby    string // the controller that takes over first if the leader fails; "" if none is eligible
}

// LeadershipStatus is a controller's response to operators that query the state of the leader and
// its standby. The JSON names are printed by `standby show --json`.
type LeadershipStatus struct {
	Controller string `json:"controller"`
	Leader     string `json:"leader"`        // as the controller's replica of the records shows it; "" if none
	Term       uint64 `json:"term"`          // of the leader
	Fenced     bool   `json:"fenced"`        // the leader may be replaced before its lease expires; see Leader.Fenced
	Streak     int    `json:"streak"`        // see Leader.Streak
	Standby    string `json:"standby"`       // the standby that the leader has elected
	Revision   uint64 `json:"revision"`      // of the controller's replica of the records
	SilenceMS  int64  `json:"silence_ms"`    // since the leader's last heartbeat
	Suspected  bool   `json:"suspected"`     // the controller suspects that the leader has failed
	Suspecting int    `json:"suspecting"`    // number of controllers that suspect it, as far as this one knows
	Early      bool   `json:"early"`         // setting of the controller: replace a failed leader before its lease expires
	Agreed     int    `json:"format"`        // the newest record format that all controllers support, according to its replica
	Served     bool   `json:"state_service"` // the state service responds to the controller
	PauseMS    int64  `json:"pause_ms"`      // minimum tenure of the current leader before it may be replaced early

	// State of the decision log at the leader: the numbers of messages and of changed facts that
	// the standby has not acknowledged, and the number of resynchronisations.
	LogMessages uint64 `json:"log_messages_behind"`
	LogFacts    int    `json:"log_facts_behind"`
	LogResyncs  int    `json:"log_resyncs"`
	// State of the decision log at a follower: the number of facts that it holds of the current
	// leader, and the number of messages that it has discarded.
	LogHeld    int `json:"log_facts_held"`
	LogDropped int `json:"log_messages_dropped"`
}
