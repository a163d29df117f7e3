// Package gang is the transaction by which a gang starts whose tasks are granted to several
// shards: try, confirm, cancel. One record per attempt settles it with conditional writes.
//
// The leader writes the record as trying. Each owner then holds capacity for its tasks, or
// denies. When all hold, the leader confirms; when one denies, when a task is no longer
// granted, or at a deadline, the record is dropped, by the leader or by any owner. A hold
// cancels itself: at its deadline the owner drops the record, and releases the hold only
// once the record says so. An owner that finds the record confirmed starts its tasks. The
// leader removes the record once all tasks are placed, or revoked.
//
// The package has no input or output.
package gang

import (
	"slices"
	"strings"
	"time"

	"micaport/internal/wire"
)

// Time is the steady clock of the process, counted from its start.
type Time = time.Duration

// Attempt is one attempt to start a gang, as its record and the owners' answers show it.
type Attempt struct {
	Key      string
	JobID    string
	Record   *wire.Gang
	Revision uint64
	SeenAt   Time // when the replica first showed the record

	// Held is, as an owner, the machine that is held for each task, by index. It is nil
	// while nothing is held.
	Held map[int]int
	// Agreed lists, as the leader, the shards whose owners hold capacity.
	Agreed map[int]bool
	// Denied says that an owner, this one included, has no capacity.
	Denied bool
}

// allAgreed tells whether the owners of all shards hold capacity.
func (a *Attempt) allAgreed() bool {
	return !slices.ContainsFunc(a.Record.Shards, func(shard int) bool { return !a.Agreed[shard] })
}

// Attempts holds the attempts whose records the replica shows.
type Attempts struct {
	byKey map[string]*Attempt
}

// NewAttempts makes an empty set.
func NewAttempts() *Attempts { return &Attempts{byKey: map[string]*Attempt{}} }

// Put applies the record of an attempt.
func (s *Attempts) Put(now Time, key string, record *wire.Gang, revision uint64) {
	a := s.byKey[key]
	if a == nil {
		a = &Attempt{Key: key, JobID: jobID(key), SeenAt: now, Agreed: map[int]bool{}}
		s.byKey[key] = a
	}
	if revision > a.Revision {
		a.Record, a.Revision = record, revision
	}
}

// jobID is the job that an attempt's key belongs to.
func jobID(key string) string {
	id := strings.TrimPrefix(key, wire.GangPrefix)
	if at := strings.LastIndexByte(id, '/'); at >= 0 {
		return id[:at]
	}
	return id
}

// Delete applies the end of a record.
func (s *Attempts) Delete(key string) { delete(s.byKey, key) }

// DeleteUnlisted deletes what a full listing lacks.
func (s *Attempts) DeleteUnlisted(listed map[string]bool) {
	for key := range s.byKey {
		if !listed[key] {
			delete(s.byKey, key)
		}
	}
}

// Find is the attempt of a job with a number, or nil.
func (s *Attempts) Find(jobID string, attempt uint64) *Attempt {
	return s.byKey[wire.GangKey(jobID, attempt)]
}

// Sorted lists the attempts by key.
func (s *Attempts) Sorted() []*Attempt {
	attempts := make([]*Attempt, 0, len(s.byKey))
	for _, a := range s.byKey {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int { return strings.Compare(a.Key, b.Key) })
	return attempts
}

// Receive takes in owners' answers, and tells whether any was of an attempt that is being
// tried.
func (s *Attempts) Receive(answers []wire.GangHold) bool {
	received := false
	for _, answer := range answers {
		a := s.Find(answer.Ref, answer.Attempt)
		if a == nil || a.Record.State != wire.GangTrying {
			continue
		}
		received = true
		if answer.OK {
			a.Agreed[answer.Part] = true
		} else {
			a.Denied = true
		}
	}
	return received
}

// Answers lists what this controller, as the owner of shards, says of the attempts that are
// being tried.
func (s *Attempts) Answers(owns func(shard int) bool) []wire.GangHold {
	var answers []wire.GangHold
	for _, a := range s.Sorted() {
		if a.Record.State != wire.GangTrying || a.Held == nil && !a.Denied {
			continue
		}
		for _, shard := range a.Record.Shards {
			if owns(shard) {
				answers = append(answers, wire.GangHold{Ref: a.JobID, Attempt: a.Record.Attempt, Part: shard, OK: a.Held != nil})
			}
		}
	}
	return answers
}

// Announced lists the attempts that the leader tells owners of: those that are being tried,
// and confirmed ones with kv.OK set.
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
