// Package kv defines the types of requests to the state service, a strongly consistent
// key-value store with leases and compare-and-swap transactions, and of its responses. It does
// no input or output; package store implements the client.
package kv

import "micaport/internal/wire"

// Condition requires that a key is at a revision; revision 0 requires that it is absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Write puts or deletes a key. A transaction applies all its writes if all its conditions
// hold, and none otherwise.
type Write struct {
	Key     string
	Value   wire.Record // nil deletes the key
	LeaseID uint64      // the key is deleted when this lease ends; 0: no lease
}

// Event is a change of a key, as a watch or a listing returns it.
type Event struct {
	Key      string
	Revision uint64
	Value    wire.Record // nil: the key was deleted
}

// Outcome is the outcome of a request to the state service, the cloud or a worker, as far as the
// sender can determine it.
type Outcome int

// Outcomes of a request. Only Unknown leaves open whether the request was executed. An outcome
// describes one attempt; an earlier attempt of the same request may have been executed.
const (
	OK           Outcome = iota // executed
	Conflict                    // a condition did not hold; nothing was changed
	NotFound                    // the key or lease does not exist
	Refused                     // not executed; the request may be repeated
	Unknown                     // it may or may not have been executed
	LeaseExpired                // a lease that the request uses has ended; not executed
	NoCapacity                  // the cloud has no machines of the pool
	TooLarge                    // a value or a transaction exceeds the limits; never executed
)
