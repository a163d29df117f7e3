package core

import (
	"slices"
	"time"

	"micaport/internal/wire"
)

// Leases on the state service, and the proofs that we still hold what we act on.

// lease is one lease on the state service.
type lease struct {
	ID       uint64
	TTL      Time
	SentAt   Time // when the last successful renewal was sent
	RenewAt  Time
	renewing bool
}

// ownershipCheck is a compare-only commit that proves what we held when it was sent,
// once the replica has reached its revision.
type ownershipCheck struct {
	sentAt   Time
	revision uint64
	terms    map[int]uint64
}

// proofInterval is how often an owner renews and proves what it holds. The older
// the last proof when it is cut off, the sooner its workers lose their tasks.
// All controllers together may spend a tenth of the requests on it.
func (n *Node) proofInterval() Time {
	if n.cfg.StateRPS <= 0 {
		return time.Second
	}
	each := Time(float64(2*len(n.cfg.Members)) / (n.cfg.StateRPS / 10) * float64(time.Second))
	return max(time.Second, min(each, 3*time.Second))
}

// renewalRetryDelay lies between two requests for a lease while they are not answered with one.
const renewalRetryDelay = 500 * time.Millisecond

// renewLeases keeps both leases alive and makes new ones when they have ended.
func (n *Node) renewLeases() {
	if l := &n.shardLease; n.renewalDue(l) {
		n.sendRenewal(l)
	}
	if l := &n.leaderLease; n.renewalDue(l) {
		if n.anotherLeads() && !n.needsLeaderLease() {
			// There is nothing to claim; requests are scarce. By the time it is needed
			// the old one may have ended.
			if n.now-l.SentAt > l.TTL/2 {
				l.ID = 0
			}
			return
		}
		n.sendRenewal(l)
	}
}

func (n *Node) renewalDue(l *lease) bool { return !l.renewing && n.now >= l.RenewAt }

// anotherLeads tells whether the records name another controller as the leader.
func (n *Node) anotherLeads() bool {
	return n.replica.Loaded() && !n.isLeader() && n.leader.record != nil && n.leader.record.Controller != n.cfg.Self
}

// sendRenewal extends a lease, or makes one.
func (n *Node) sendRenewal(l *lease) {
	l.renewing = true
	sent, was := n.now, l.ID
	id := n.onResult(func(in Result) {
		r := in.(LeaseAnswered)
		n.noteStoreOutcome(r.Outcome)
		l.renewing = false
		l.RenewAt = n.now + renewalRetryDelay
		switch r.Outcome {
		case OK:
			if was == 0 {
				l.ID = r.LeaseID
			}
			l.SentAt = sent
			l.RenewAt = sent + min(l.TTL/4, n.proofInterval())
		case NotFound:
			l.ID, l.RenewAt = 0, n.now
		}
	})
	n.emit(RenewLease{ID: id, LeaseID: was, TTL: l.TTL})
}

// checkOwnership proves every couple of seconds that we still hold what we act on.
func (n *Node) checkOwnership() {
	if n.now < n.ownershipCheckAt {
		return
	}
	n.ownershipCheckAt = n.now + min(n.cfg.OwnerValidity/8, n.proofInterval())
	var conds []Condition
	held := map[int]uint64{}
	for i, shard := range n.shards {
		if n.owns(shard) {
			conds = append(conds, Condition{Key: wire.ShardKey(shard.Name), Revision: shard.Term})
			held[i] = shard.Term
		}
	}
	if len(conds) == 0 {
		return
	}
	// A transaction takes four conditions for each change that it could make.
	sent, most := n.now, 4*n.cfg.MaxTransactionOps
	for _, some := range slices.Collect(slices.Chunk(conds, max(1, most))) {
		parts := map[int]uint64{}
		for i, shard := range n.shards {
			if slices.ContainsFunc(some, func(c Condition) bool { return c.Key == wire.ShardKey(shard.Name) }) {
				parts[i] = held[i]
			}
		}
		n.commit(ClassLease, some, nil, func(result Committed) {
			if result.Outcome == OK && sent >= n.resumedAt {
				n.ownershipChecks = append(n.ownershipChecks, ownershipCheck{sentAt: sent, revision: result.Revision, terms: parts})
				n.settleOwnershipChecks()
			}
		})
	}
}

// settleOwnershipChecks lets proofs count whose revision the replica has reached. Without
// this wait an owner whose watch hangs could go on keeping tasks alive whose
// cancellation it has not seen.
func (n *Node) settleOwnershipChecks() {
	n.ownershipChecks = slices.DeleteFunc(n.ownershipChecks, func(c ownershipCheck) bool {
		if c.revision > n.replica.Revision() {
			return false
		}
		n.provenAt = max(n.provenAt, c.sentAt)
		for i, term := range c.terms {
			if shard := n.shards[i]; shard.Term == term {
				if !n.mayActAsOwner(shard) {
					shard.ValidSince = n.now
				}
				shard.validFrom = max(shard.validFrom, min(c.sentAt, n.shardLease.SentAt))
				shard.proven = true
			}
		}
		return true
	})
}
