// Package wire holds the messages that micaport exchanges with users, workers, the cloud and
// other controllers, and the records that it keeps in the state service.
//
// The messages are defined in one file per interface: user_api.go, worker_api.go, cloud_api.go,
// gossip.go, forwarded_request.go, leadership.go and decision_log.go. The records are defined in
// record.go and in the files named after them, their keys in keys.go, and the versions of their
// encoding in record_format.go.
//
// Messages and records are encoded as MessagePack maps. The field tags give the names of the
// fields in the protocol, which differ from those in Go; no other package translates between
// them. Messages that controllers send each other by net/rpc are encoded by encoding/gob, which
// transmits the names of the Go fields: these names are part of the protocol between versions and
// can't be changed.
//
// Durations are in seconds where a name ends in S and in milliseconds where it ends in MS.
// Memory and image sizes are in GB. Numbers of cores and GPUs may be fractions.
package wire
