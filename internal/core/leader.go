package core

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/wire"
)

// leaderState is the state that only a leader keeps. It is not persisted: a new leader rebuilds it
// from the records and from heartbeats, and uses the decision log as a hint.
type leaderState struct {
	leadershipChanges int   // number of times that this process has gained or lost the leadership
	batch             batch // of the last scheduling pass
	passNeeded        bool  // the scheduler's input has changed since the last pass
	nextPassAt        Time  // earliest time of the next pass

	grantHints        map[taskKey]*machine // the machine that the scheduler chose for a granted task
	nextHintCleanupAt Time

	sharesDistributedAt []Time             // by team: when the shares of its limit were last distributed
	sharesReclaimed     []bool             // by team: the last distribution reclaimed idle shares
	nextExcessReportAt  Time               // earliest time of the next report of teams above their limits
	pendingPlacements   []pendingPlacement // tasks that the current batch places on own machines

	autoscaler          autoscaler
	recordsWithinLimits bool // all records are within the announced size limits; see shrinkRecords
	// Machines whose deprovisioning the cloud has recently confirmed, to be announced to the owners
	// of shards.
	deprovisioned []deprovisionedMachine
	reservations  []wire.Reservation // machines reserved for the gang that has waited longest
}

// pendingPlacement is a task that the leader's current batch places on one of this controller's
// machines, and which therefore uses part of that machine's capacity.
type pendingPlacement struct {
	machine *machine
	spec    *wire.JobSpec
}

// deprovisionedMachine is a machine whose deprovisioning the cloud has confirmed.
type deprovisionedMachine struct {
	name string
	at   Time
}

// deprovisionAnnounceTime is how long gossip announces that a machine was deprovisioned.
const deprovisionAnnounceTime = 20 * second

// recentlyDeprovisioned returns the names of the machines that were deprovisioned within
// deprovisionAnnounceTime, and removes the others from the list. An owner that misses an
// announcement detects by missing heartbeats that the machine no longer runs.
func (l *leaderState) recentlyDeprovisioned(n *Node) []string {
	l.deprovisioned = slices.DeleteFunc(l.deprovisioned, func(m deprovisionedMachine) bool { return n.now-m.at > deprovisionAnnounceTime })
	var out []string
	for _, machine := range l.deprovisioned {
		out = append(out, machine.name)
	}
	return out
}

// reset discards the state when this process gains or loses the leadership.
func (l *leaderState) reset() {
	l.leadershipChanges++
	l.batch = batch{role: "leader", generation: l.batch.generation + 1}
	l.grantHints, l.pendingPlacements = map[taskKey]*machine{}, nil
	l.autoscaler = newAutoscaler()
	l.deprovisioned, l.reservations = nil, nil
	l.sharesDistributedAt = initialDistributionTimes(len(l.sharesDistributedAt))
	l.sharesReclaimed = make([]bool, len(l.sharesDistributedAt))
	l.passNeeded = true
}

const (
	// firstPassDelayAfterStall is the time after a stall of the process in which the leader makes
	// no scheduling pass. Peers send gossip every second, so that all have reported by then.
	firstPassDelayAfterStall = 2 * second
	// firstPassDelay is how long a new leader waits for the owners' views of their machines.
	firstPassDelay = 700 * time.Millisecond
	// idlePassInterval is added to the interval between two scheduling passes when nothing has
	// changed.
	idlePassInterval = second
	// The interval between two passes grows with the number of unfinished jobs and of machines:
	// a pass visits all of them, and a controller has only a share of a core.
	passInterval           = 120 * time.Millisecond
	passIntervalPerJob     = 300 * time.Microsecond
	passIntervalPerMachine = 100 * time.Microsecond
)

// runLeader makes the calls to the cloud and the scheduling pass that are due, if this process
// leads. An isolated leader may resign instead.
func (n *Node) runLeader() {
	n.machineTypes.SetLeading(n.now, n.isLeader())
	if !n.isLeader() || n.resignIfIsolated() || !n.leadership.LeaseValid(n.now) {
		return
	}
	if n.resumedAt > 0 && n.now-n.resumedAt < firstPassDelayAfterStall || !n.mayDecide() {
		return
	}
	n.runCloudCalls()
	n.storeMachineTypes()
	if n.passDue() && n.leader.batch.retryOrCheckReady(n) {
		n.runLeaderPass()
	}
}

// passDue reports whether a scheduling pass is due.
func (n *Node) passDue() bool {
	leader := &n.leader
	if n.now < leader.nextPassAt || !leader.passNeeded && n.now < leader.nextPassAt+idlePassInterval {
		return false
	}
	return n.machineTypes.OfferedCount() > 0 && n.now-n.leadership.LeaderChangedAt() >= firstPassDelay
}

// runLeaderPass makes a scheduling pass: it decides about gangs and waiting jobs and commits the
// changed records as one batch.
func (n *Node) runLeaderPass() {
	leader := &n.leader
	leader.nextPassAt = n.now + passInterval + Time(len(n.replica.Live()))*passIntervalPerJob + Time(n.machineCount())*passIntervalPerMachine
	leader.passNeeded, leader.pendingPlacements = false, nil
	writer := newWriter(n)
	writer.conditions = append(writer.conditions, n.leaderCondition())
	n.cleanUpHints()
	n.shrinkRecords(writer)
	n.advanceGangs(writer)
	n.revokeStaleGrants(writer)
	n.updateOwnViews()
	unwritten := n.runSchedulingPass(writer)
	n.logQuotaExcess()
	n.recordCancellations(writer)
	writer.deletesUnusedOverflow = true
	n.budget.pendingPassRecords = len(writer.changedJobs) + unwritten
	n.log(LogDebug, "scheduling pass",
		"machines", n.machineCount(), "changed_jobs", len(writer.changedJobs),
		"unwritten_grants", unwritten)
	writer.send(&leader.batch)
	n.recordFirstPass()
}

// cleanUpHints removes the grant hints that are no longer needed, every few seconds.
func (n *Node) cleanUpHints() {
	if n.now >= n.leader.nextHintCleanupAt {
		n.leader.nextHintCleanupAt = n.now + 5*second
		n.removeStaleGrantHints()
	}
}

// machineCount returns the number of machines in all shards.
func (s *site) machineCount() int {
	c := 0
	for _, shard := range s.shards {
		c += len(shard.machines)
	}
	return c
}

const (
	// unownedGrantTimeout is the time after which a grant to a shard without a responding owner
	// is revoked.
	unownedGrantTimeout = 8 * second
	// ownedGrantTimeout is the time after which a grant to a shard whose owner responds is
	// revoked. It is longer, as the owner may have to wait until its share of the write rate
	// allows the placement.
	ownedGrantTimeout = 40 * second
	// ownerResponseTimeout is the age of an owner's last message up to which it counts as
	// responding.
	ownerResponseTimeout = 5 * second
)

// revokeStaleGrants revokes grants that no owner has placed within the timeout. Their tasks cannot
// have started: an owner that places a task at the same time changes the record, so that the
// revocation fails.
func (n *Node) revokeStaleGrants(writer *writer) {
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Unplaced == 0 || !n.hasStaleGrant(job) {
			continue
		}
		record := writer.recordToChange(job)
		if record == nil {
			return // the transaction is full
		}
		record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Machine == "" })
	}
}

// hasStaleGrant reports whether a grant to a job has waited for its owner longer than the timeout.
// Grants of a gang's attempt that is still in progress do not count.
func (n *Node) hasStaleGrant(job *job) bool {
	for _, task := range job.Record.ActiveTasks {
		if task.Machine != "" {
			continue
		}
		timeout := unownedGrantTimeout
		if n.ownerResponds(n.shards[task.Shard]) {
			timeout = ownedGrantTimeout
		}
		if n.now-job.ChangedAt >= timeout && n.gangs.Find(job.ID, task.Attempt) == nil {
			return true
		}
	}
	return false
}

// ownerResponds reports whether a shard has an owner, which is this controller or has recently sent
// a message.
func (n *Node) ownerResponds(shard *shard) bool {
	if shard.Record == nil {
		return false
	}
	owner := n.peers[shard.Record.Owner]
	return n.owns(shard) || owner != nil && n.now-owner.receivedAt < ownerResponseTimeout
}

// newProvisionName returns a new name for a provisioning request. Names are never reused, as no two
// leaders have the same term.
func (n *Node) newProvisionName() string {
	n.leader.autoscaler.requestSequence++
	return fmt.Sprintf("r-%d-%d", n.leadership.Term(), n.leader.autoscaler.requestSequence)
}
