package config

// Sockets that a controller needs besides those for peers, users and workers. The adapters
// limit their connections to these numbers.
const (
	// StateSockets are for requests to the state service, watches aside.
	StateSockets = 8
	// WatchSockets are for the watch of the state service.
	WatchSockets = 2
	// CloudSockets are for calls of the cloud.
	CloudSockets = 3
	// CommandSockets are for commands sent directly to workers.
	CommandSockets = 32

	listenerSockets = 2
	runtimeSockets  = 5 // what the runtime may need

	ownSockets = StateSockets + WatchSockets + CloudSockets + listenerSockets + runtimeSockets
)

// peerConnections is how many connections of one peer are accepted at a time: it makes a new
// one whenever a reply is late, and old ones may linger during a partition.
const peerConnections = 8

// PeerSockets is how many connections of other controllers are accepted at a time.
func (s *Settings) PeerSockets() int { return peerConnections * (len(s.Peers) + 1) }

// PublicSockets is how many connections of users and workers are accepted at a time: what the
// limit of sockets leaves beside all others, one connection to each peer included.
func (s *Settings) PublicSockets() int {
	return s.Deployment.Limits.Sockets - ownSockets - CommandSockets - s.PeerSockets() - len(s.Peers)
}
