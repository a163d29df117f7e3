package core

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/wire"
)

// leaderState is the leader's record and, while we lead, its memory. All of
// the memory can be lost: a new leader rebuilds it from records and reports.
type leaderState struct {
	rec    *wire.Leader
	rev    uint64
	since  Time
	tenure int // counts how often we began or ceased to lead
	batch  batch
	dirty  bool
	at     Time

	hint        map[taskKey]*host // the machine that a grant had in mind
	hintsTidyAt Time

	dealtAt  []Time    // when the shares of each team's limit were last dealt
	gathered []bool    // by team: the last that was dealt was to gather all shares
	excessAt Time      // when teams beyond their limits are reported next
	placing  []placing // what the batch under way places on machines of our own

	cloud cloudState
	// Machines that the cloud has confirmed gone, for the owners to hear.
	returned []returned
	kept     []wire.Kept // machines kept for the gang that has waited longest
}

// placing is room on a machine of ours that a batch of the leader takes.
type placing struct {
	h  *host
	sp *wire.Spec
}

type returned struct {
	name string
	at   Time
}

// returnedFor is how long the owners are told of a machine's return.
const returnedFor = 20 * second

// returnedLately names the machines that went back a short while ago. An owner
// that misses it finds them silent.
func (l *leaderState) returnedLately(n *Node) []string {
	l.returned = slices.DeleteFunc(l.returned, func(r returned) bool { return n.now-r.at > returnedFor })
	var out []string
	for _, r := range l.returned {
		out = append(out, r.name)
	}
	return out
}

func (l *leaderState) reset() {
	l.tenure++
	l.batch = batch{name: "leader", gen: l.batch.gen + 1}
	l.hint, l.placing = map[taskKey]*host{}, nil
	l.cloud = newCloudState()
	l.returned, l.kept = nil, nil
	l.dealtAt = dealTimes(len(l.dealtAt))
	l.gathered = make([]bool, len(l.dealtAt))
	l.dirty = true
}

// leaderTick plans and grants.
func (n *Node) leaderTick() {
	l := &n.leader
	if !n.leads() || n.resign() {
		return
	}
	// Refused by the state service, we may have lost the lead without seeing
	// it. Commits would fail, but the cloud would go on obeying us.
	// Nor does a new lease renew what was claimed under one that has ended.
	if n.now-n.leadLease.sent > n.leadLease.ttl || n.leadLease.id != n.claimLease {
		return
	}
	if n.resumedAt > 0 && n.now-n.resumedAt < 2*second {
		return // the peers tell every second
	}
	if !n.mayDecide() {
		return
	}
	n.cloudTick()
	if n.now < l.at || (!l.dirty && n.now < l.at+second) || n.types == nil {
		return
	}
	// First hear from the owners what there is.
	if n.now-l.since < 700*time.Millisecond {
		return
	}
	if !l.batch.ready(n) {
		return
	}
	// A pass looks at every unfinished job and every machine, if briefly; with
	// thousands of them the share of a core that we have allows fewer passes.
	l.at = n.now + 120*time.Millisecond + Time(len(n.live))*300*time.Microsecond + Time(n.machines())*100*time.Microsecond
	l.dirty, l.placing = false, nil
	w := newWriter(n)
	w.conds = append(w.conds, Cond{wire.LeaderKey, l.rev})
	n.forgetHintsNowAndThen()
	n.shrinkRecords(w)
	n.leadGangs(w)
	n.revokeOrphans(w)
	n.ownInfo()
	left := n.plan(w)
	n.reportExcess()
	n.recordWithdrawals(w)
	n.budget.pendingGrants = len(w.order) + left
	n.log(LogDebug, "planned", "machines", n.machines(), "changed", len(w.order), "left", left)
	w.send(&l.batch, nil)
	n.decided()
}

// forgetHintsNowAndThen keeps the leader's memory of grants to those that matter.
func (n *Node) forgetHintsNowAndThen() {
	if n.now >= n.leader.hintsTidyAt {
		n.leader.hintsTidyAt = n.now + 5*second
		n.forgetHints()
	}
}

// machines counts those that we know and that may still be there.
func (n *Node) machines() int {
	c := 0
	for _, p := range n.parts {
		c += len(p.hosts)
	}
	return c
}

// revokeOrphans takes back grants to parts that have had no owner for a while.
func (n *Node) revokeOrphans(w *writer) {
	for _, jx := range n.live {
		j := n.jobs[jx]
		if j.unplaced == 0 {
			continue
		}
		for _, a := range j.rec.Active {
			if a.Host != "" {
				continue
			}
			// An owner that is there may just be waiting for its turn to write.
			wait := 8 * second
			if n.ownerThere(n.parts[a.Part]) {
				wait = 40 * second
			}
			if n.now-j.changed < wait || n.gangs[wire.GangKey(j.ref, a.Attempt)] != nil {
				continue
			}
			rec := w.job(j)
			if rec == nil {
				return
			}
			// Never placed, so nothing can have started; an owner that
			// places it at this moment changes the record and we lose.
			rec.Active = slices.DeleteFunc(rec.Active, func(b wire.Active) bool { return b.Host == "" })
			break
		}
	}
}

// ownerThere tells whether a part has an owner that can be heard.
func (n *Node) ownerThere(p *part) bool {
	if p.rec == nil {
		return false
	}
	owner := n.peers[p.rec.Owner]
	return n.holds(p) || owner != nil && n.now-owner.at < 5*second
}

// hireName is unique for ever: no two leaders share a term.
func (n *Node) hireName() string {
	n.leader.cloud.hireSeq++
	return fmt.Sprintf("r-%d-%d", n.leader.rev, n.leader.cloud.hireSeq)
}
