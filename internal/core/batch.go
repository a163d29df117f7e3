package core

import (
	"slices"
	"strings"
	"time"

	"micaport/internal/wire"
)

// batch is a commit of several records that is retried until its outcome is
// certain. Until then, and until our copy of the records has caught up with
// it, no other batch of the same role is made; so a late copy of it can never
// add to what a later one decides.
type batch struct {
	name           string
	active         bool
	waiting        bool
	outcomeUnknown bool // an earlier sending may yet be carried out
	conds          []Cond
	writes         []Write
	extra          []Write // writes that belong together with others of the batch
	until          uint64  // revision that our copy must reach
	retryAt        Time
	onOK           func()
	gen            uint64
}

func (b *batch) start(n *Node, conds []Cond, writes, extra []Write, onOK func()) {
	b.gen++
	b.active, b.waiting, b.outcomeUnknown, b.until = true, false, false, 0
	b.conds, b.writes, b.extra, b.onOK = conds, writes, extra, onOK
	b.send(n)
}

func (b *batch) send(n *Node) {
	b.waiting = true
	gen := b.gen
	n.commit(Bulk, b.conds, b.writes, func(c Committed) {
		if gen != b.gen || !b.active {
			return
		}
		b.waiting = false
		n.log(LogDebug, "wrote", "role", b.name, "puts", len(b.writes), "outcome", int(c.Outcome))
		switch c.Outcome {
		case OK:
			if b.onOK != nil && len(b.writes) > 0 {
				b.onOK()
			}
			b.until = max(c.Rev, 1)
		case Conflict:
			n.log(LogDebug, "commit lost a race", "role", b.name, "rev", c.Rev)
			if b.dropFailed(c.Failed) {
				b.send(n)
				return
			}
			b.until = max(c.Rev, 1)
		case TooLarge:
			// Never sent again as it is. Whether an earlier sending, before the
			// limits fell, was carried out is told by its conditions alone.
			if b.outcomeUnknown && len(b.writes) > 0 {
				b.writes, b.extra = nil, nil
				b.send(n)
				return
			}
			b.active = false
			b.retryAt = n.now + time.Second
		case Refused, BadLease:
			if !b.outcomeUnknown {
				b.active = false
			}
			b.retryAt = n.now + 400*time.Millisecond
		default:
			b.outcomeUnknown = true
			b.retryAt = n.now + 300*time.Millisecond
		}
		b.settle(n)
	})
}

// settle ends the batch once our copy shows its outcome.
func (b *batch) settle(n *Node) {
	if b.active && b.until > 0 && n.rev >= b.until {
		b.active = false
	}
}

// ready tells whether a new batch may be made, and resends an unsure one.
func (b *batch) ready(n *Node) bool {
	if !b.active {
		return n.now >= b.retryAt && n.availableWrites() >= 1
	}
	if !b.waiting && b.until == 0 && n.now >= b.retryAt {
		b.send(n)
	}
	return false
}

// dropFailed takes the records out of the batch that others have changed, so
// that the rest need not wait for a new decision. It tells whether that can
// be done: only records of jobs stand for themselves, and only in a batch that
// was not sent before dropFailed an answer.
func (b *batch) dropFailed(failed []string) bool {
	if b.outcomeUnknown || len(failed) == 0 || len(b.extra) > 0 {
		return false
	}
	for _, key := range failed {
		if !strings.HasPrefix(key, wire.JobPrefix) {
			return false
		}
	}
	b.conds = slices.DeleteFunc(b.conds, func(c Cond) bool { return slices.Contains(failed, c.Key) })
	// With a record go its further keys: written without it, under no condition any
	// more, they would lose tasks that are running.
	b.writes = slices.DeleteFunc(b.writes, func(w Write) bool { return slices.Contains(failed, recordOf(w.Key)) })
	return len(b.writes) > 0
}

// recordOf is the key of the record that a key belongs to.
func recordOf(key string) string {
	if !strings.HasPrefix(key, wire.ContinuationPrefix) {
		return key
	}
	ref, _ := wire.SplitContinuation(key)
	return wire.JobKey(ref)
}

// holds tells whether the batch is about to change a record: what another role
// of ours decides on the copy that we have would lose against it.
func (b *batch) holds(j *job) bool {
	if !b.active {
		return false
	}
	key := wire.JobKey(j.ref)
	return slices.ContainsFunc(b.writes, func(w Write) bool { return w.Key == key })
}

// drop forgets the batch; the role that made it has been lost, and with it
// the condition under which the batch could still be carried out.
func (b *batch) drop() {
	b.gen++
	b.active, b.waiting, b.retryAt = false, false, 0
}
