package config

// Numbers of sockets that a controller needs in addition to those for peers, users and workers.
// The adapters limit their connections to these numbers.
const (
	// StateSockets are for requests to the state service other than watches.
	StateSockets = 8
	// WatchSockets are for the watch of the state service.
	WatchSockets = 2
	// CloudSockets are for calls to the cloud.
	CloudSockets = 3
	// CommandSockets are for commands sent directly to workers.
	CommandSockets = 32

	listenerSockets = 2
	runtimeSockets  = 5 // for the Go runtime

	reservedSockets = StateSockets + WatchSockets + CloudSockets + listenerSockets + runtimeSockets
)

// maxConnectionsPerPeer is how many connections of one peer are accepted at the same time. A
// peer reconnects whenever a reply is late, and during a partition its old connections may
// remain open.
const maxConnectionsPerPeer = 8

// PeerSockets returns how many connections of other controllers are accepted at the same time.
func (s *Settings) PeerSockets() int { return maxConnectionsPerPeer * (len(s.Peers) + 1) }

// PublicSockets returns how many connections of users and workers are accepted at the same
// time: the limit of sockets less all other sockets, including one for a connection to each
// peer.
func (s *Settings) PublicSockets() int {
	return s.Deployment.Limits.Sockets - reservedSockets - CommandSockets - s.PeerSockets() - len(s.Peers)
}
