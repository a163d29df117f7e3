package core

import (
	"strings"

	"micaport/internal/wire"
)

// Our copy of the records, as the watch of the state service shows them.

// changes takes events of the watch into our copy of the records.
func (n *Node) changes(c Changes) {
	if c.Reset {
		n.dropUnlisted(c)
		clear(n.continuations) // the listing holds all there are
	}
	n.changeAll(c.Events)
	if c.Reset {
		n.assumeTakeovers()
	} else {
		n.countWrites(len(c.Events))
	}
	n.loaded = n.loaded || c.Reset
	n.rev = max(n.rev, c.Rev)
	n.leader.dirty = true
	n.settleChecks()
	n.settleProofs()
	n.heldAt = 0
	n.owner.settle(n)
	n.leader.batch.settle(n)
}

// dropUnlisted drops the records that a full listing lacks.
func (n *Node) dropUnlisted(listing Changes) {
	listed := map[string]bool{}
	for _, e := range listing.Events {
		listed[e.Key] = true
	}
	for _, j := range n.jobs {
		if j.rec != nil && !listed[wire.JobKey(j.ref)] {
			n.putJob(j.ref, nil, listing.Rev)
		}
	}
	for _, p := range n.parts {
		if p.rec != nil && !listed[wire.PartKey(p.name)] {
			n.putPart(p, nil, listing.Rev)
		}
	}
	for key := range n.gangs {
		if !listed[key] {
			delete(n.gangs, key)
		}
	}
	for i := range n.cfg.Teams {
		if name := n.cfg.Teams[i].Name; !listed[wire.AccountKey(name)] {
			n.putAccount(name, nil, listing.Rev)
		}
	}
	if !listed[wire.LeaderKey] {
		n.putLeader(nil, listing.Rev)
	}
}

// assumeTakeovers takes it that each part was taken over from an owner that lives, as
// what happened before a listing is not known.
func (n *Node) assumeTakeovers() {
	for _, p := range n.parts {
		p.until = n.now + n.cfg.Validity
	}
}

// changeAll takes events in. Further active tasks change together with their job's
// record; what several transactions did to one is taken in as it stands in the end.
func (n *Node) changeAll(events []Event) {
	var last map[string]int
	for i, e := range events {
		if needs, is := e.Value.(*wire.Needs); is {
			n.putNeeds(e.Key, needs) // in a listing it comes after the record
		}
		if !strings.HasPrefix(e.Key, wire.ContinuationPrefix) {
			continue
		}
		m, _ := e.Value.(*wire.Continuation)
		n.putContinuation(e.Key, m)
		if last == nil {
			last = map[string]int{}
			for k, e := range events {
				last[e.Key] = k
			}
		}
		last[e.Key] = i
	}
	for i, e := range events {
		if last == nil || last[e.Key] == i || !strings.HasPrefix(e.Key, wire.JobPrefix) {
			n.change(e)
		}
	}
}

// change takes one event in.
func (n *Node) change(e Event) {
	switch v := e.Value.(type) {
	case *wire.SupportedFormat:
		n.putFormat(e.Key[len(wire.FormatPrefix):], v)
	case *wire.Job:
		ref := e.Key[len(wire.JobPrefix):]
		n.putJob(ref, v, e.Rev)
		delete(n.needsLists, ref)
	case *wire.Part:
		if p := n.partNamed(e.Key); p != nil {
			n.putPart(p, v, e.Rev)
		}
	case *wire.Leader:
		n.putLeader(v, e.Rev)
	case *wire.Takeovers:
		n.putTakeovers(v)
	case *wire.Account:
		n.putAccount(wire.AccountTeam(e.Key), v, e.Rev)
	case *wire.Gang:
		n.putGang(e.Key, v, e.Rev)
	case *wire.Gossip:
		if n.loaded { // a listing's may be of long ago
			n.gossipFromStore(v)
		}
	case *wire.Images:
		n.takeImages(v)
	case *wire.Types:
		n.typesStored(v, e.Rev)
	case nil:
		n.dropped(e)
	}
}

// dropped takes in that a key is gone. Jobs' records are never dropped.
func (n *Node) dropped(e Event) {
	switch {
	case e.Key == wire.LeaderKey:
		n.putLeader(nil, e.Rev)
	case strings.HasPrefix(e.Key, wire.PartPrefix):
		if p := n.partNamed(e.Key); p != nil {
			n.putPart(p, nil, e.Rev)
		}
	case strings.HasPrefix(e.Key, wire.GangPrefix):
		delete(n.gangs, e.Key)
	case strings.HasPrefix(e.Key, wire.AccountPrefix):
		n.putAccount(wire.AccountTeam(e.Key), nil, e.Rev)
	}
}

// typesStored takes the stored machine types, unless the cloud has told of them.
func (n *Node) typesStored(types *wire.Types, rev uint64) {
	if rev < n.rigRev {
		return
	}
	n.rigRev = rev
	if n.types == nil {
		n.takeTypes(types.Rigs)
	}
}
