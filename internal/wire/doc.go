// Package wire holds the messages that micaport exchanges with users, workers, the cloud and
// other controllers, and the records that it keeps in the state service.
//
// One file holds each counterpart's messages: user_api.go, worker_api.go, cloud_api.go,
// gossip.go, forwarded_request.go, leadership.go and decision_log.go. The records are in
// record.go and the files named after them, their keys in keys.go, and the versions of their
// encoding in record_format.go.
//
// Messages and records are encoded as MessagePack maps. The field tags hold the names that the
// protocol gives to the fields, which differ from the names in Go; they are mapped here and
// nowhere else. Messages that controllers send each other by net/rpc are encoded by
// encoding/gob, which carries the names of the Go fields: these names are part of the protocol
// between versions and can't be changed.
//
// Durations are in seconds where a name ends in S and in milliseconds where it ends in MS.
// Memory and images are measured in GB, cores and GPUs in units that may be fractions.
package wire
