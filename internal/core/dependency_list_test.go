package core

import (
	"fmt"
	"net/http"
	"testing"

	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/wire"
)

// newSmallValueNode returns a controller with a low size limit of values, which permits only few
// dependencies in a record.
func newSmallValueNode(members ...ownership.Member) *Node {
	return newTestNodeWith(func(cfg *Config) { cfg.MaxValueBytes, cfg.MaxTransactionOps = 2048, 4 }, members...)
}

// applyLiveJobRecords adds a number of live jobs to a controller's replica and returns their IDs.
func applyLiveJobRecords(n *Node, count int) (ids []string) {
	for i := range count {
		id := fmt.Sprintf("wk-%06d", 1000+i)
		applyJobRecord(n, 10+i, id, wire.JobLive, nil)
		ids = append(ids, id)
	}
	return ids
}

// recordsChangedBy returns the watch events of a number of writes.
func recordsChangedBy(revision int, writes []kv.Write) RecordsChanged {
	var events []kv.Event
	for i, write := range writes {
		events = append(events, kv.Event{Key: write.Key, Revision: uint64(revision + i), Value: write.Value})
	}
	return RecordsChanged{Revision: uint64(revision + len(writes)), Events: events}
}

// Dependencies that do not fit a job's record are written first, in values and transactions
// within the limits, and the record last. Every controller then links all of them, also from a
// full listing, in which the record precedes the lists.
func TestLongDependencyList(t *testing.T) {
	const count = 900
	n := newSmallValueNode()
	ids := applyLiveJobRecords(n, count)
	reply, wrote := runRequest(n, UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submissionBody(t, "wk-000100", ids...)}, nil)
	if reply == nil || reply.Status != http.StatusCreated {
		t.Fatalf("answered with %+v, want status %d", reply, http.StatusCreated)
	}
	last, ok := wrote[len(wrote)-1].Value.(*wire.Job)
	if !ok || last.DependencyListKeys != len(wrote)-1 || last.DependencyListKeys < 5 || len(last.Spec.Dependencies) > 0 {
		t.Fatalf("the last of %d writes is %+v, want a record that names the list written before", len(wrote), last)
	}
	for _, write := range wrote {
		if size, err := wire.JSONSize(write.Value); err != nil || size > n.cfg.MaxValueBytes {
			t.Errorf("%s takes %d bytes, at most %d are allowed; error %v", write.Key, size, n.cfg.MaxValueBytes, err)
		}
	}

	listing := append([]kv.Write{wrote[len(wrote)-1]}, wrote[:len(wrote)-1]...)
	for name, order := range map[string][]kv.Write{"watch": wrote, "listing": listing} {
		t.Run(name, func(t *testing.T) {
			other := newSmallValueNode()
			applyLiveJobRecords(other, count)
			other.Step(other.now+1, recordsChangedBy(2000, order))
			job := other.findJob("wk-000100")
			if job.Links == nil || job.Links.NotDoneCount != count || other.replica.StagedDependencyLists() > 0 {
				t.Fatalf("the links are %+v, %d lists are staged, want %d open dependencies", job.Links, other.replica.StagedDependencyLists(), count)
			}
			for i, id := range ids[:count-1] {
				applyJobRecord(other, 3000+i, id, wire.JobDone, nil)
			}
			if !job.IsBlocked() {
				t.Error("the job no longer waits though one dependency is not done")
			}
			applyJobRecord(other, 5000, ids[count-1], wire.JobCancelled, nil)
			if job.State() != wire.JobCancelled {
				t.Error("the job is not cancelled though a dependency is")
			}
		})
	}
}

// If the state service refuses the rest of a dependency list, the job is not accepted. When the
// user submits it again, only the missing keys are written.
func TestPartialDependencyListIsCompleted(t *testing.T) {
	n := newSmallValueNode()
	ids := applyLiveJobRecords(n, 900)
	submit := func(requestID uint64, allowed int) (reply *Reply, wrote []kv.Write) {
		t.Helper()
		inputs := []Input{UserRequest{RequestID: requestID, Kind: wire.RequestSubmit, Body: submissionBody(t, "wk-000100", ids...)}}
		for len(inputs) > 0 {
			in := inputs[0]
			inputs = inputs[1:]
			for _, e := range n.Step(n.now+1, in) {
				switch effect := e.(type) {
				case Commit:
					if effect.Class != ClassUser || len(effect.Writes) == 0 {
						continue
					}
					if len(effect.Writes) > n.cfg.MaxTransactionOps {
						t.Errorf("%d writes in a transaction, at most %d are allowed", len(effect.Writes), n.cfg.MaxTransactionOps)
					}
					if allowed--; allowed < 0 {
						inputs = append(inputs, Committed{ID: effect.ID, Outcome: kv.Refused, RateLimited: true})
						continue
					}
					wrote = append(wrote, effect.Writes...)
					inputs = append(inputs, recordsChangedBy(2000+len(wrote), effect.Writes), Committed{ID: effect.ID, Outcome: kv.OK})
				case Reply:
					reply = &effect
				}
			}
		}
		return reply, wrote
	}
	reply, first := submit(1, 1)
	if reply == nil || reply.Status != http.StatusServiceUnavailable || len(first) != n.cfg.MaxTransactionOps {
		t.Fatalf("answered with %+v after %d writes, want status %d after %d", reply, len(first), http.StatusServiceUnavailable, n.cfg.MaxTransactionOps)
	}
	reply, rest := submit(2, 100)
	if reply == nil || reply.Status != http.StatusCreated {
		t.Fatalf("answered with %+v, want status %d", reply, http.StatusCreated)
	}
	written := map[string]bool{}
	for _, write := range append(first, rest...) {
		if written[write.Key] {
			t.Errorf("%s was written twice", write.Key)
		}
		written[write.Key] = true
	}
	if record := rest[len(rest)-1].Value.(*wire.Job); len(written) != record.DependencyListKeys+1 {
		t.Errorf("%d keys were written, want %d", len(written), record.DependencyListKeys+1)
	}
}

// Until every controller reads dependency lists, a submission that needs one is answered 503,
// and one whose dependencies fit its record is accepted.
func TestDependencyListUnavailableBeforeUpgrade(t *testing.T) {
	n := newSmallValueNode(ownership.Member{Name: "n0", Zone: "a"}, ownership.Member{Name: "n1", Zone: "a"})
	announceFormat := func(revision uint64, name string, format int) {
		n.Step(n.now+1, RecordsChanged{Revision: revision, Events: []kv.Event{{Key: wire.FormatPrefix + name, Revision: revision, Value: &wire.SupportedFormat{Format: format}}}})
	}
	submit := func(requestID uint64, id string, dependencies []string) UserRequest {
		t.Helper()
		return UserRequest{RequestID: requestID, Kind: wire.RequestSubmit, Body: submissionBody(t, id, dependencies...)}
	}
	announceFormat(5, "n0", wire.Format)
	announceFormat(6, "n1", wire.FormatDependencies)
	ids := applyLiveJobRecords(n, 300)
	reply, wrote := runRequest(n, submit(1, "wk-000100", ids), nil)
	if reply == nil || reply.Status != http.StatusServiceUnavailable || reply.RetryAfterS == 0 || len(wrote) > 0 {
		t.Errorf("long list: answered with %+v, %d writes, want status %d and none", reply, len(wrote), http.StatusServiceUnavailable)
	}
	// Nor is it forwarded to a peer, which may answer 422.
	n.storeOK = false
	n.peers["n1"] = &peer{receivedAt: n.now, message: &wire.Gossip{From: "n1", StoreOK: true}}
	forwards := func(requestID uint64, dependencies []string) (count int) {
		t.Helper()
		for _, e := range n.Step(n.now+1, submit(requestID, "wk-000102", dependencies)) {
			if _, ok := e.(Forward); ok {
				count++
			}
		}
		return count
	}
	if forwards(11, ids) > 0 {
		t.Error("a long list is forwarded before all controllers read such lists")
	}
	if forwards(12, ids[:5]) != 1 {
		t.Error("a short list is not forwarded")
	}
	n.storeOK = true
	reply, wrote = runRequest(n, submit(2, "wk-000101", ids[:5]), nil)
	if reply == nil || reply.Status != http.StatusCreated || len(wrote) != 1 {
		t.Errorf("short list: answered with %+v, %d writes, want status %d and one", reply, len(wrote), http.StatusCreated)
	}
	announceFormat(2000, "n1", wire.Format)
	if reply, _ = runRequest(n, submit(3, "wk-000100", ids), nil); reply == nil || reply.Status != http.StatusCreated {
		t.Errorf("long list after the upgrade: answered with %+v, want status %d", reply, http.StatusCreated)
	}
}

// A record whose dependency list is incomplete should never be written. If one is, its job must
// never start, rather than start before its dependencies are done.
func TestIncompleteDependencyListDoesNotStart(t *testing.T) {
	n := newSmallValueNode()
	spec := &wire.JobSpec{ID: "wk-000100", Team: "t", Shape: wire.ShapeArray, TaskCount: 1}
	record := &wire.Job{Spec: spec, TaskCount: 1, NextAttempt: 1, DependencyList: "x", DependencyListKeys: 2}
	applyJobRecord(n, 9, "wk-000001", wire.JobDone, nil)
	n.Step(n.now+1, RecordsChanged{Revision: 11, Events: []kv.Event{
		{Key: wire.DependencyListKey("wk-000100", "x", 1), Revision: 10, Value: &wire.DependencyList{JobIDs: []string{"wk-000001"}}},
		{Key: wire.JobKey("wk-000100"), Revision: 11, Value: record},
	}})
	if !n.findJob("wk-000100").IsBlocked() {
		t.Error("a job may start though its dependencies are not all known")
	}
}
