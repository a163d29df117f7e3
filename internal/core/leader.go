package core

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/wire"
)

// leaderState is the memory of a leader. All of it can be lost: a new leader rebuilds it from
// records and heartbeats, and gets hints from the decision log.
type leaderState struct {
	tenure     int   // counts how often this process began or ceased to lead
	batch      batch // of the last scheduling pass
	passNeeded bool  // something has changed since the last pass
	nextPassAt Time  // not before this is another pass made

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

// returnedMachine is a machine that the cloud has confirmed gone.
type returnedMachine struct {
	name string
	at   Time
}

// returnedAnnounceTime is how long the owners are told of a machine's return.
const returnedAnnounceTime = 20 * second

// recentlyReturned names the machines that went back a short while ago. An owner
// that misses it finds them silent.
func (l *leaderState) recentlyReturned(n *Node) []string {
	l.returned = slices.DeleteFunc(l.returned, func(r returnedMachine) bool { return n.now-r.at > returnedAnnounceTime })
	var out []string
	for _, r := range l.returned {
		out = append(out, r.name)
	}
	return out
}

// reset forgets everything, as this process begins or ceases to lead.
func (l *leaderState) reset() {
	l.tenure++
	l.batch = batch{role: "leader", generation: l.batch.generation + 1}
	l.grantHints, l.pendingPlacements = map[taskKey]*machine{}, nil
	l.autoscaler = newAutoscaler()
	l.returned, l.reservations = nil, nil
	l.sharesDistributedAt = neverDistributed(len(l.sharesDistributedAt))
	l.sharesReclaimed = make([]bool, len(l.sharesDistributedAt))
	l.passNeeded = true
}

const (
	// firstPassDelayAfterStall is what a leader leaves its peers after a stall to report; they do so
	// every second.
	firstPassDelayAfterStall = 2 * second
	// firstPassDelay is what a new leader leaves the owners to tell what there is.
	firstPassDelay = 700 * time.Millisecond
	// idlePassInterval lies between two scheduling passes when nothing has changed.
	idlePassInterval = second
	// A pass looks at every unfinished job and every machine, if briefly; with thousands of
	// them the share of a core that a controller has allows fewer passes.
	passInterval           = 120 * time.Millisecond
	passIntervalPerJob     = 300 * time.Microsecond
	passIntervalPerMachine = 100 * time.Microsecond
)

// runLeader does what is due as the leader: calls to the cloud, and a scheduling pass.
func (n *Node) runLeader() {
	if !n.isLeader() || n.resign() || !n.leadership.LeaseHolds(n.now) {
		return
	}
	if n.resumedAt > 0 && n.now-n.resumedAt < firstPassDelayAfterStall || !n.mayDecide() {
		return
	}
	n.runCloudCalls()
	if n.passDue() && n.leader.batch.ready(n) {
		n.decide()
	}
}

// passDue tells whether it is time for a scheduling pass.
func (n *Node) passDue() bool {
	leader := &n.leader
	if n.now < leader.nextPassAt || !leader.passNeeded && n.now < leader.nextPassAt+idlePassInterval {
		return false
	}
	return n.offeredTypes != nil && n.now-n.leadership.Since() >= firstPassDelay
}

// decide decides what is to be done about gangs and waiting jobs, and commits it as one batch.
func (n *Node) decide() {
	leader := &n.leader
	leader.nextPassAt = n.now + passInterval + Time(len(n.replica.Live()))*passIntervalPerJob + Time(n.machineCount())*passIntervalPerMachine
	leader.passNeeded, leader.pendingPlacements = false, nil
	writer := newWriter(n)
	writer.conditions = append(writer.conditions, n.leaderCondition())
	n.cleanUpHints()
	n.shrinkRecords(writer)
	n.advanceGangs(writer)
	n.revokeUnownedGrants(writer)
	n.updateOwnViews()
	unwritten := n.runSchedulingPass(writer)
	n.reportExcess()
	n.recordCancellations(writer)
	n.budget.pendingGrants = len(writer.order) + unwritten
	n.log(LogDebug, "scheduling pass",
		"machines", n.machineCount(), "changed_jobs", len(writer.order),
		"unwritten_grants", unwritten)
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
func (s *site) machineCount() int {
	c := 0
	for _, shard := range s.shards {
		c += len(shard.machines)
	}
	return c
}

const (
	// unownedGrantTimeout is how long a grant to a shard without an owner stands.
	unownedGrantTimeout = 8 * second
	// ownedGrantTimeout is that of a shard with one, which may wait for its turn to write.
	ownedGrantTimeout = 40 * second
	// ownerResponseTimeout is how long ago an owner was heard that counts as there.
	ownerResponseTimeout = 5 * second
)

// revokeUnownedGrants revokes grants that no owner has placed for a while. Nothing can have
// started; an owner that places a task at this moment changes the record, and the revocation
// fails.
func (n *Node) revokeUnownedGrants(writer *writer) {
	for _, index := range n.replica.Live() {
		job := n.jobs[index]
		if job.Unplaced == 0 || !n.hasStaleGrant(job) {
			continue
		}
		record := writer.job(job)
		if record == nil {
			return
		}
		record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool { return task.Machine == "" })
	}
}

// hasStaleGrant tells whether a grant to a job has waited for too long for its owner.
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

// ownerResponds tells whether a shard has an owner that can be heard.
func (n *Node) ownerResponds(shard *shard) bool {
	if shard.Record == nil {
		return false
	}
	owner := n.peers[shard.Record.Owner]
	return n.owns(shard) || owner != nil && n.now-owner.receivedAt < ownerResponseTimeout
}

// provisionName is unique for ever: no two leaders share a term.
func (n *Node) provisionName() string {
	n.leader.autoscaler.requestSequence++
	return fmt.Sprintf("r-%d-%d", n.leadership.Term(), n.leader.autoscaler.requestSequence)
}
