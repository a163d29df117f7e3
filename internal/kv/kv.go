// Package kv holds the types of requests to the state service, a strongly consistent
// key-value store with leases and compare-and-swap transactions, and of its answers. It
// has no input or output; package store speaks the protocol.
package kv

import "micaport/internal/wire"

// Condition demands that a key is at a revision; revision 0 demands that it is absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Write puts or deletes a key. A transaction applies all its writes if all its conditions
// hold, and none otherwise.
type Write struct {
	Key     string
	Value   wire.Record // nil deletes the key
	LeaseID uint64      // the key is removed when this lease ends; 0: it stays
}

// Event is a change of a key as the watch or a listing shows it.
type Event struct {
	Key      string
	Revision uint64
	Value    wire.Record // nil: the key was deleted
}

// Outcome is what is known of a request to the state service or the cloud.
type Outcome int

// Outcomes. Only kv.OK, Conflict and kv.NotFound say for certain what happened; Refused says
// that nothing did.
const (
	OK Outcome = iota
	Conflict
	NotFound
	Refused
	Unknown
	LeaseExpired
	NoCapacity // of the cloud
	TooLarge   // a value or a transaction beyond the limits: never carried out
)
