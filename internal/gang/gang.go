// Package gang implements the try-confirm-cancel transaction that starts a gang whose tasks are
// granted to several shards. Each attempt has one record, whose state is changed by conditional
// writes only.
//
// The leader writes the record in the state trying. Each owner then holds capacity for its tasks,
// or denies the attempt. When all owners hold capacity, the leader confirms the record. The leader
// drops it when an owner denies, when no task of the attempt waits for a machine any more, or at
// the leader's deadline. Holds expire without the leader: at the owners' deadline any owner drops
// the record. An owner releases its hold only when the record has been dropped. When the record
// has been confirmed, the owners place their tasks. The leader removes the record once all tasks
// have been placed or revoked.
//
// The package does no input or output.
package gang

import (
	"slices"
	"strings"
	"time"

	"micaport/internal/wire"
)

// Time is a time of the process's monotonic clock, counted from the start of the process.
type Time = time.Duration

// Attempt is an attempt to start a gang: its record, and the holds and answers of the owners.
type Attempt struct {
	Key      string
	JobID    string
	Record   *wire.Gang
	Revision uint64
	SeenAt   Time // when the replica first showed the record

	// HeldMachines maps, on an owner, each task to the index of the machine that is held for it. It
	// is nil while nothing is held.
	HeldMachines map[int]int
	// AgreedShards is, on the leader, the set of shards whose owners hold capacity.
	AgreedShards map[int]bool
	// Denied is set when an owner, which may be this controller, has too little capacity.
	Denied bool
}

// allAgreed reports whether the owners of all shards hold capacity.
func (a *Attempt) allAgreed() bool {
	return !slices.ContainsFunc(a.Record.Shards, func(shard int) bool { return !a.AgreedShards[shard] })
}

// Attempts is the set of attempts that have a record in the replica.
type Attempts struct {
	byKey map[string]*Attempt
}

// NewAttempts returns an empty set.
func NewAttempts() *Attempts { return &Attempts{byKey: map[string]*Attempt{}} }

// Put stores an attempt's record at a revision, unless a newer revision is stored.
func (s *Attempts) Put(now Time, key string, record *wire.Gang, revision uint64) {
	a := s.byKey[key]
	if a == nil {
		a = &Attempt{Key: key, JobID: jobID(key), SeenAt: now, AgreedShards: map[int]bool{}}
		s.byKey[key] = a
	}
	if revision > a.Revision {
		a.Record, a.Revision = record, revision
	}
}

// jobID returns the job ID in an attempt's key.
func jobID(key string) string {
	id := strings.TrimPrefix(key, wire.GangPrefix)
	if at := strings.LastIndexByte(id, '/'); at >= 0 {
		return id[:at]
	}
	return id
}

// Delete removes the attempt whose record was deleted.
func (s *Attempts) Delete(key string) { delete(s.byKey, key) }

// DeleteUnlisted removes the attempts whose records a full listing does not contain.
func (s *Attempts) DeleteUnlisted(listed map[string]bool) {
	for key := range s.byKey {
		if !listed[key] {
			delete(s.byKey, key)
		}
	}
}

// Find returns the attempt of a job with the given number, or nil.
func (s *Attempts) Find(jobID string, attempt uint64) *Attempt {
	return s.byKey[wire.GangKey(jobID, attempt)]
}

// Sorted returns the attempts sorted by key.
func (s *Attempts) Sorted() []*Attempt {
	attempts := make([]*Attempt, 0, len(s.byKey))
	for _, a := range s.byKey {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return strings.Compare(a.Key, b.Key) })
	return attempts
}

// ApplyAnswers applies owners' answers to attempts that are being tried, and reports whether there
// were any such answers.
func (s *Attempts) ApplyAnswers(answers []wire.GangHold) bool {
	received := false
	for _, answer := range answers {
		a := s.Find(answer.Ref, answer.Attempt)
		if a == nil || a.Record.State != wire.GangTrying {
			continue
		}
		received = true
		if answer.OK {
			a.AgreedShards[answer.Part] = true
		} else {
			a.Denied = true
		}
	}
	return received
}

// OwnAnswers returns this controller's answers, as the owner of shards, to the attempts that are
// being tried.
func (s *Attempts) OwnAnswers(owns func(shard int) bool) []wire.GangHold {
	var answers []wire.GangHold
	for _, a := range s.Sorted() {
		if a.Record.State != wire.GangTrying || a.HeldMachines == nil && !a.Denied {
			continue
		}
		for _, shard := range a.Record.Shards {
			if owns(shard) {
				answers = append(answers, wire.GangHold{Ref: a.JobID, Attempt: a.Record.Attempt, Part: shard, OK: a.HeldMachines != nil})
			}
		}
	}
	return answers
}

// Announced returns the attempts that the leader announces to the owners: those that are being
// tried, and the confirmed ones, which have OK set.
func (s *Attempts) Announced() []wire.GangHold {
	var announced []wire.GangHold
	for _, a := range s.Sorted() {
		if a.Record.State != wire.GangDropped {
			announced = append(announced, wire.GangHold{
				Ref:     a.JobID,
				Attempt: a.Record.Attempt,
				OK:      a.Record.State == wire.GangConfirmed,
			})
		}
	}
	return announced
}
