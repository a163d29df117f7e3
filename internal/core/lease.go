package core

import (
	"slices"
	"time"

	"micaport/internal/wire"
)

// Leases on the state service, and the proofs that we still hold what we act on.

// lease is one lease on the state service.
type lease struct {
	id      uint64
	ttl     Time
	sent    Time // when the last successful renewal was sent
	next    Time
	waiting bool
}

// check is a compare-only commit that proves what we held when it was sent,
// once our copy of the records has reached its revision.
type check struct {
	sent  Time
	rev   uint64
	parts map[int]uint64
}

// proofPause is how often an owner renews and proves what it holds. The older
// the last proof when it is cut off, the sooner its workers lose their tasks.
// All controllers together may spend a tenth of the requests on it.
func (n *Node) proofPause() Time {
	if n.cfg.StateRPS <= 0 {
		return time.Second
	}
	each := Time(float64(2*len(n.cfg.Members)) / (n.cfg.StateRPS / 10) * float64(time.Second))
	return max(time.Second, min(each, 3*time.Second))
}

// renewalRetry lies between two requests for a lease while they are not answered with one.
const renewalRetry = 500 * time.Millisecond

// renew keeps both leases alive and makes new ones when they have ended.
func (n *Node) renew() {
	if l := &n.partLease; n.renewalDue(l) {
		n.sendRenewal(l)
	}
	if l := &n.leadLease; n.renewalDue(l) {
		if n.anotherLeads() && !n.wantsLeadLease() {
			// There is nothing to claim; requests are scarce. By the time it is needed
			// the old one may have ended.
			if n.now-l.sent > l.ttl/2 {
				l.id = 0
			}
			return
		}
		n.sendRenewal(l)
	}
}

func (n *Node) renewalDue(l *lease) bool { return !l.waiting && n.now >= l.next }

// anotherLeads tells whether the records name another controller as the leader.
func (n *Node) anotherLeads() bool {
	return n.loaded && !n.leads() && n.leader.rec != nil && n.leader.rec.Node != n.cfg.Self
}

// sendRenewal extends a lease, or makes one.
func (n *Node) sendRenewal(l *lease) {
	l.waiting = true
	sent, was := n.now, l.id
	id := n.id(func(in Result) {
		r := in.(Leased)
		n.storeHeard(r.Outcome)
		l.waiting = false
		l.next = n.now + renewalRetry
		switch r.Outcome {
		case OK:
			if was == 0 {
				l.id = r.Lease
			}
			l.sent = sent
			l.next = sent + min(l.ttl/4, n.proofPause())
		case Missing:
			l.id, l.next = 0, n.now
		}
	})
	n.emit(Lease{ID: id, Lease: was, TTL: l.ttl})
}

// runChecks proves every couple of seconds that we still hold what we act on.
func (n *Node) runChecks() {
	if n.now < n.checkAt {
		return
	}
	n.checkAt = n.now + min(n.cfg.Validity/8, n.proofPause())
	var conds []Cond
	held := map[int]uint64{}
	for i, p := range n.parts {
		if n.holds(p) {
			conds = append(conds, Cond{wire.PartKey(p.name), p.rev})
			held[i] = p.rev
		}
	}
	if len(conds) == 0 {
		return
	}
	// A transaction takes four conditions for each change that it could make.
	sent, most := n.now, 4*n.cfg.TxnOps
	for _, some := range slices.Collect(slices.Chunk(conds, max(1, most))) {
		parts := map[int]uint64{}
		for i, p := range n.parts {
			if slices.ContainsFunc(some, func(c Cond) bool { return c.Key == wire.PartKey(p.name) }) {
				parts[i] = held[i]
			}
		}
		n.commit(Vital, some, nil, func(c Committed) {
			if c.Outcome == OK && sent >= n.resumedAt {
				n.checks = append(n.checks, check{sent: sent, rev: c.Rev, parts: parts})
				n.settleChecks()
			}
		})
	}
}

// settleChecks lets proofs count whose revision our copy has reached. Without
// this wait an owner whose watch hangs could go on keeping tasks alive whose
// withdrawal it has not seen.
func (n *Node) settleChecks() {
	n.checks = slices.DeleteFunc(n.checks, func(c check) bool {
		if c.rev > n.rev {
			return false
		}
		n.provenAt = max(n.provenAt, c.sent)
		for i, term := range c.parts {
			if p := n.parts[i]; p.rev == term {
				if !n.valid(p) {
					p.validSince = n.now
				}
				p.base = max(p.base, min(c.sent, n.partLease.sent))
				p.proven = true
			}
		}
		return true
	})
}
