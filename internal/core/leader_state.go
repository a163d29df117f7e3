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
	tenure     int // counts how often we began or ceased to lead
	batch      batch
	planNeeded bool
	planAt     Time

	grantHints     map[taskKey]*machine // the machine that a grant had in mind
	hintsCleanupAt Time

	sharesDistributedAt []Time             // when the shares of each team's limit were last distributed
	sharesReclaimed     []bool             // by team: the last that was distributed was to gather all shares
	excessAt            Time               // when teams beyond their limits are reported next
	pendingPlacements   []pendingPlacement // what the batch under way places on machines of our own

	autoscaler autoscaler
	recordsFit bool // no record is larger than the limits to come; see shrinkRecords
	// Machines that the cloud has confirmed gone, for the owners to hear.
	returned     []returnedMachine
	reservations []wire.Reservation // machines kept for the gang that has waited longest
}

// pendingPlacement is room on a machine of ours that a batch of the leader takes.
type pendingPlacement struct {
	machine *machine
	spec    *wire.JobSpec
}

type returnedMachine struct {
	name string
	at   Time
}

// returnedAnnounceTime is how long the owners are told of a machine's return.
const returnedAnnounceTime = 20 * second

// recentlyReturned names the machines that went back a short while ago. An owner
// that misses it finds them silent.
func (leader *leaderState) recentlyReturned(n *Node) []string {
	leader.returned = slices.DeleteFunc(leader.returned, func(r returnedMachine) bool { return n.now-r.at > returnedAnnounceTime })
	var out []string
	for _, r := range leader.returned {
		out = append(out, r.name)
	}
	return out
}

func (leader *leaderState) reset() {
	leader.tenure++
	leader.batch = batch{role: "leader", generation: leader.batch.generation + 1}
	leader.grantHints, leader.pendingPlacements = map[taskKey]*machine{}, nil
	leader.autoscaler = newAutoscaler()
	leader.returned, leader.reservations = nil, nil
	leader.sharesDistributedAt = neverDistributed(len(leader.sharesDistributedAt))
	leader.sharesReclaimed = make([]bool, len(leader.sharesDistributedAt))
	leader.planNeeded = true
}

// runLeader plans and grants.
func (n *Node) runLeader() {
	leader := &n.leader
	if !n.isLeader() || n.resign() {
		return
	}
	// Refused by the state service, we may have lost the lead without seeing
	// it. Commits would fail, but the cloud would go on obeying us.
	// Nor does a new lease renew what was claimed under one that has ended.
	if !n.leadership.LeaseHolds(n.now) {
		return
	}
	if n.resumedAt > 0 && n.now-n.resumedAt < 2*second {
		return // the peers tell every second
	}
	if !n.mayDecide() {
		return
	}
	n.runCloudCalls()
	if n.now < leader.planAt || (!leader.planNeeded && n.now < leader.planAt+second) || n.offeredTypes == nil {
		return
	}
	// First hear from the owners what there is.
	if n.now-n.leadership.Since() < 700*time.Millisecond {
		return
	}
	if !leader.batch.ready(n) {
		return
	}
	// A pass looks at every unfinished job and every machine, if briefly; with
	// thousands of them the share of a core that we have allows fewer passes.
	leader.planAt = n.now + 120*time.Millisecond + Time(len(n.replica.Live()))*300*time.Microsecond + Time(n.machineCount())*100*time.Microsecond
	leader.planNeeded, leader.pendingPlacements = false, nil
	writer := newWriter(n)
	writer.conditions = append(writer.conditions, n.leaderCondition())
	n.cleanUpHints()
	n.shrinkRecords(writer)
	n.advanceGangs(writer)
	n.revokeUnownedGrants(writer)
	n.updateOwnViews()
	left := n.runSchedulingPass(writer)
	n.reportExcess()
	n.recordCancellations(writer)
	n.budget.pendingGrants = len(writer.order) + left
	n.log(LogDebug, "scheduling pass", "machines", n.machineCount(), "changed_jobs", len(writer.order), "unwritten_grants", left)
	writer.send(&leader.batch)
	n.notePlanned()
}

// cleanUpHints keeps the leader's memory of grants to those that matter.
func (n *Node) cleanUpHints() {
	if n.now >= n.leader.hintsCleanupAt {
		n.leader.hintsCleanupAt = n.now + 5*second
		n.forgetHints()
	}
}

// machineCount counts those that we know and that may still be there.
func (n *Node) machineCount() int {
	c := 0
	for _, shard := range n.shards {
		c += len(shard.machines)
	}
	return c
}

// revokeUnownedGrants takes back grants to shards that have had no owner for a while.
func (n *Node) revokeUnownedGrants(writer *writer) {
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Unplaced == 0 {
			continue
		}
		for _, task := range job.Record.ActiveTasks {
			if task.Machine != "" {
				continue
			}
			// An owner that is there may just be waiting for its turn to write.
			wait := 8 * second
			if n.ownerIsHeard(n.shards[task.Shard]) {
				wait = 40 * second
			}
			if n.now-job.ChangedAt < wait || n.gangs.Find(job.ID, task.Attempt) != nil {
				continue
			}
			record := writer.job(job)
			if record == nil {
				return
			}
			// Never placed, so nothing can have started; an owner that
			// places it at this moment changes the record and we lose.
			record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(other wire.ActiveTask) bool { return other.Machine == "" })
			break
		}
	}
}

// ownerIsHeard tells whether a shard has an owner that can be heard.
func (n *Node) ownerIsHeard(shard *shard) bool {
	if shard.Record == nil {
		return false
	}
	owner := n.peers[shard.Record.Owner]
	return n.owns(shard) || owner != nil && n.now-owner.heardAt < 5*second
}

// provisionName is unique for ever: no two leaders share a term.
func (n *Node) provisionName() string {
	n.leader.autoscaler.requestSequence++
	return fmt.Sprintf("r-%d-%d", n.leadership.Term(), n.leader.autoscaler.requestSequence)
}
