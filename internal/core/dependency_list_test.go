package core

import (
	"fmt"
	"testing"

	"micaport/internal/wire"
)

// smallValues is a controller whose records hold few names.
func smallValues(members ...Member) *Node {
	return chainedWith(func(cfg *Config) { cfg.MaxValueBytes, cfg.MaxTransactionOps = 2048, 4 }, members...)
}

// manyNeeds makes jobs that a submission names, and shows them to a controller.
func manyNeeds(n *Node, count int) (ids []string) {
	for i := range count {
		id := fmt.Sprintf("wk-%06d", 1000+i)
		see(n, 10+i, id, wire.JobLive, nil)
		ids = append(ids, id)
	}
	return ids
}

// changesOf makes the events by which a watch shows writes.
func changesOf(rev int, writes []Write) RecordsChanged {
	var events []Event
	for i, w := range writes {
		events = append(events, Event{Key: w.Key, Revision: uint64(rev + i), Value: w.Value})
	}
	return RecordsChanged{Revision: uint64(rev + len(writes)), Events: events}
}

// A job may wait on more jobs than its record has room for: they are written first, in
// values and transactions within the limits, and the record last. Every controller then
// knows all of them, also one that reads them in a listing, where the record comes first.
func TestLongListOfNeeds(t *testing.T) {
	const count = 900
	n := smallValues()
	ids := manyNeeds(n, count)
	r, wrote := settle(n, UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submission("wk-000100", ids...)}, nil)
	if r == nil || r.Status != 201 {
		t.Fatalf("answered with %+v", r)
	}
	last, is := wrote[len(wrote)-1].Value.(*wire.Job)
	if !is || last.DependencyListKeys != len(wrote)-1 || last.DependencyListKeys < 5 || len(last.Spec.Dependencies) > 0 {
		t.Fatalf("the record is %+v after %d writes", last, len(wrote))
	}
	for _, w := range wrote {
		if size, err := wire.JSONSize(w.Value); err != nil || size > n.cfg.MaxValueBytes {
			t.Errorf("%s takes %d bytes, %v", w.Key, size, err)
		}
	}

	listing := append([]Write{wrote[len(wrote)-1]}, wrote[:len(wrote)-1]...)
	for name, order := range map[string][]Write{"watch": wrote, "listing": listing} {
		other := smallValues()
		manyNeeds(other, count)
		other.Step(other.now+1, changesOf(2000, order))
		job := other.jobNamed("wk-000100")
		if job.Links == nil || job.Links.Open != count || other.replica.StagedDependencyLists() > 0 {
			t.Fatalf("%s: %d needs are open, %d lists are kept", name, job.Links.Open, other.replica.StagedDependencyLists())
		}
		for i, id := range ids[:count-1] {
			see(other, 3000+i, id, wire.JobDone, nil)
		}
		if !job.IsWaiting() {
			t.Errorf("%s: it waits no more though one need is not done", name)
		}
		see(other, 5000, ids[count-1], wire.JobCancelled, nil)
		if job.State() != wire.JobCancelled {
			t.Errorf("%s: it goes on below a withdrawn job", name)
		}
	}
}

// A list that was written only in part, when the service refused more, is gone on with
// when the user submits again, and nothing is accepted before it is complete.
func TestLongListIsContinued(t *testing.T) {
	n := smallValues()
	ids := manyNeeds(n, 900)
	submit := func(req uint64, allowed int) (reply *Reply, wrote []Write) {
		inputs := []Input{UserRequest{RequestID: req, Kind: wire.RequestSubmit, Body: submission("wk-000100", ids...)}}
		for len(inputs) > 0 {
			in := inputs[0]
			inputs = inputs[1:]
			for _, e := range n.Step(n.now+1, in) {
				switch x := e.(type) {
				case Commit:
					if x.Class != ClassUser || len(x.Writes) == 0 {
						continue
					}
					if len(x.Writes) > n.cfg.MaxTransactionOps {
						t.Errorf("%d changes in a transaction", len(x.Writes))
					}
					if allowed--; allowed < 0 {
						inputs = append(inputs, Committed{ID: x.ID, Outcome: Refused, Limited: true})
						continue
					}
					wrote = append(wrote, x.Writes...)
					inputs = append(inputs, changesOf(2000+len(wrote), x.Writes), Committed{ID: x.ID, Outcome: OK})
				case Reply:
					reply = &x
				}
			}
		}
		return reply, wrote
	}
	reply, first := submit(1, 1)
	if reply == nil || reply.Status != 503 || len(first) != n.cfg.MaxTransactionOps {
		t.Fatalf("answered with %+v after %d writes", reply, len(first))
	}
	reply, rest := submit(2, 100)
	if reply == nil || reply.Status != 201 {
		t.Fatalf("answered with %+v", reply)
	}
	written := map[string]bool{}
	for _, w := range append(first, rest...) {
		if written[w.Key] {
			t.Errorf("%s was written twice", w.Key)
		}
		written[w.Key] = true
	}
	if record := rest[len(rest)-1].Value.(*wire.Job); len(written) != record.DependencyListKeys+1 {
		t.Errorf("%d keys, not %d", len(written), record.DependencyListKeys+1)
	}
}

// Before every controller reads such lists none is written: the submission is put off,
// while one that its record has room for is taken.
func TestNoLongListBeforeAllReadIt(t *testing.T) {
	n := smallValues(Member{Name: "n0", Zone: "a"}, Member{Name: "n1", Zone: "a"})
	reads := func(rev uint64, label string, format int) {
		n.Step(n.now+1, RecordsChanged{Revision: rev, Events: []Event{{Key: wire.FormatPrefix + label, Revision: rev, Value: &wire.SupportedFormat{Format: format}}}})
	}
	reads(5, "n0", wire.Format)
	reads(6, "n1", wire.FormatDependencies)
	ids := manyNeeds(n, 300)
	r, wrote := settle(n, UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: submission("wk-000100", ids...)}, nil)
	if r == nil || r.Status != 503 || r.RetryAfterS == 0 || len(wrote) > 0 {
		t.Errorf("answered with %+v, wrote %d", r, len(wrote))
	}
	// Nor is it handed to a peer, which may answer 422.
	n.storeOK = false
	n.peers["n1"] = &peer{heardAt: n.now, message: &wire.Gossip{From: "n1", StoreOK: true}}
	forwards := func(req uint64, needs ...string) (count int) {
		for _, e := range n.Step(n.now+1, UserRequest{RequestID: req, Kind: wire.RequestSubmit, Body: submission("wk-000102", needs...)}) {
			if _, is := e.(Forward); is {
				count++
			}
		}
		return count
	}
	if forwards(11, ids...) > 0 {
		t.Error("a long list is handed on before all read it")
	}
	if forwards(12, ids[:5]...) != 1 {
		t.Error("a short list is not handed on")
	}
	n.storeOK = true
	r, wrote = settle(n, UserRequest{RequestID: 2, Kind: wire.RequestSubmit, Body: submission("wk-000101", ids[:5]...)}, nil)
	if r == nil || r.Status != 201 || len(wrote) != 1 {
		t.Errorf("answered with %+v, wrote %d", r, len(wrote))
	}
	reads(2000, "n1", wire.Format)
	if r, _ = settle(n, UserRequest{RequestID: 3, Kind: wire.RequestSubmit, Body: submission("wk-000100", ids...)}, nil); r == nil || r.Status != 201 {
		t.Errorf("answered with %+v", r)
	}
}

// A repeated submission of a job with a long list that the replica does not show can't be
// answered from the jobs above: it is put off, not called pending.
func TestUnknownListIsNotAnswered(t *testing.T) {
	n := smallValues()
	stored := map[string]*wire.Job{"wk-000100": {TaskCount: 1, Spec: &wire.JobSpec{Shape: wire.ShapeArray}, DependencyList: "x", DependencyListKeys: 2}}
	r, _ := settle(n, UserRequest{RequestID: 1, Kind: wire.RequestSubmit, Body: []byte{0x81, 0xa3, 'r', 'e', 'f', 0xa9, 'w', 'k', '-', '0', '0', '0', '1', '0', '0'}}, stored)
	if r == nil || r.Status != 503 || r.RetryAfterS == 0 {
		t.Errorf("answered with %+v", r)
	}
}

// A record whose list is incomplete can't come about. If one does, its job waits for
// good rather than start too early.
func TestIncompleteListDoesNotStart(t *testing.T) {
	n := smallValues()
	spec := &wire.JobSpec{ID: "wk-000100", Team: "t", Shape: wire.ShapeArray, TaskCount: 1}
	record := &wire.Job{Spec: spec, TaskCount: 1, NextAttempt: 1, DependencyList: "x", DependencyListKeys: 2}
	see(n, 9, "wk-000001", wire.JobDone, nil)
	n.Step(n.now+1, RecordsChanged{Revision: 11, Events: []Event{
		{Key: wire.DependencyListKey("wk-000100", "x", 1), Revision: 10, Value: &wire.DependencyList{JobIDs: []string{"wk-000001"}}},
		{Key: wire.JobKey("wk-000100"), Revision: 11, Value: record},
	}})
	if !n.jobNamed("wk-000100").IsWaiting() {
		t.Error("a job without all its needs may start")
	}
}
