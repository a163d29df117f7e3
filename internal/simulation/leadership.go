package simulation

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// leadershipWatch follows who leads, and checks what must hold between a replaced leader
// and the next: every decision under the leader key is its holder's, and once a leader
// has called the cloud none before it does.
type leadershipWatch struct {
	sim               *Simulation
	rng               *rand.Rand // of heartbeats alone, so that other traffic is as without them
	tenures           []leaderTenure
	lastCloudTenure   int           // the latest tenure under which the cloud was called
	failedAt          time.Duration // when the present leader was ended or stopped; 0: it was not
	crashNextClaimant time.Duration // for how long the next to claim ends at once; 0: it does not
	standby           string        // that the last heartbeat named
	heartbeats        int
	logBytes          int           // of facts that leaders have sent their standbys
	failedClaims      int           // claims that failed as another had been carried out
	disconnectDelay   time.Duration // how long the end of a connection takes to be seen
}

// leaderTenure is the time under one claim.
type leaderTenure struct {
	controller string
	term       uint64
	early      bool // it replaced a live record of another controller
	claimedAt  time.Duration
	decidedAt  time.Duration // the first commit that changes a job's record; 0: none
	failedAt   time.Duration // when the leader before was ended or stopped; 0: it was not
}

func newLeadershipWatch(sim *Simulation) *leadershipWatch {
	return &leadershipWatch{sim: sim, rng: rand.New(rand.NewPCG(sim.Seed, 11)), lastCloudTenure: -1, disconnectDelay: 2 * time.Millisecond}
}

// recordClaim notes a claim that is about to be carried out. It tells whether a process begins
// to lead with it; one that leads already may claim anew to be fenced.
func (watch *leadershipWatch) recordClaim(claim *wire.Leader, term uint64) bool {
	holder := watch.sim.store.leader()
	if holder != nil && *holder == (wire.Leader{Controller: claim.Controller, Incarnation: claim.Incarnation, Streak: holder.Streak}) {
		watch.tenures[len(watch.tenures)-1].term = term
		return false
	}
	early := holder != nil && holder.Controller != claim.Controller
	if early && (!holder.Fenced || claim.Streak == 0) {
		watch.sim.rules.violated("unfenced_takeover", "%s replaces %+v", claim.Controller, holder)
	}
	if watch.crashNextClaimant > 0 {
		away, ix := watch.crashNextClaimant, slices.IndexFunc(watch.sim.controllers, func(ctrl *controller) bool { return ctrl.label == claim.Controller })
		watch.crashNextClaimant = 0
		watch.sim.after(0, func() { watch.sim.crash(ix, away) })
	}
	watch.tenures = append(watch.tenures, leaderTenure{controller: claim.Controller, term: term, early: early, claimedAt: watch.sim.now, failedAt: watch.failedAt})
	watch.failedAt = 0
	return true
}

// recordFailure notes that the leader is ended or stopped now.
func (watch *leadershipWatch) recordFailure(ix int) {
	if len(watch.tenures) > 0 && watch.tenures[len(watch.tenures)-1].controller == watch.sim.controllers[ix].label && watch.failedAt == 0 {
		watch.failedAt = watch.sim.now
	}
}

// slowestTakeover is the longest time from the failure of a leader until the next one's first
// decision, of those that were replaced early.
func (watch *leadershipWatch) slowestTakeover() time.Duration {
	most := time.Duration(0)
	for i := range watch.tenures {
		if tenure := &watch.tenures[i]; tenure.early && tenure.failedAt > 0 && tenure.decidedAt > 0 {
			most = max(most, tenure.decidedAt-tenure.failedAt)
		}
	}
	return most
}

// checkCommit checks a transaction that has been carried out.
func (watch *leadershipWatch) checkCommit(ctrl *controller, conditions []core.Condition, writes []recordWrite) {
	if len(watch.tenures) == 0 || !slices.ContainsFunc(conditions, func(c core.Condition) bool { return c.Key == wire.LeaderKey && c.Revision > 0 }) ||
		slices.ContainsFunc(writes, func(write recordWrite) bool { return write.key == wire.LeaderKey }) {
		return
	}
	now := &watch.tenures[len(watch.tenures)-1]
	if now.controller != ctrl.label {
		watch.sim.rules.violated("foreign_decision", "%s decides under the claim of %s", ctrl.label, now.controller)
	}
	if now.decidedAt == 0 && slices.ContainsFunc(writes, func(write recordWrite) bool { return strings.HasPrefix(write.key, wire.JobPrefix) }) {
		now.decidedAt = watch.sim.now
	}
}

// recordConflict notes a transaction that failed on its conditions.
func (watch *leadershipWatch) recordConflict(writes []recordWrite) {
	if slices.ContainsFunc(writes, func(write recordWrite) bool { return write.key == wire.LeaderKey && write.raw != nil }) {
		watch.failedClaims++
	}
}

// checkCloudCall checks that a controller may provision or deprovision with a call.
func (watch *leadershipWatch) checkCloudCall(ctrl *controller, call core.CallCloud) {
	if call.Provision == nil && call.Deprovision == nil {
		return
	}
	if watch.isStale(ctrl) {
		watch.sim.rules.violated("stale_leader", "%s deals with the cloud", ctrl.label)
	}
	latest := -1
	for i := range watch.tenures {
		if watch.tenures[i].controller == ctrl.label {
			latest = i
		}
	}
	if latest < watch.lastCloudTenure {
		watch.sim.rules.violated("two_leaders_at_cloud", "%s calls after %s", ctrl.label, watch.tenures[watch.lastCloudTenure].controller)
	}
	watch.lastCloudTenure = max(watch.lastCloudTenure, latest)
}

// isStale tells whether a controller distributes with the cloud long after
// another has taken the lead: it would return machines that are in use.
func (watch *leadershipWatch) isStale(ctrl *controller) bool {
	record := watch.sim.store.records[wire.LeaderKey]
	return record != nil && mustDecodeRecord(wire.LeaderKey, record.raw).(*wire.Leader).Controller != ctrl.label && watch.sim.now-watch.sim.store.leaderSince > 6*time.Second
}

// countEarly counts the takeovers that did not wait for the lease.
func (watch *leadershipWatch) countEarly() int {
	count := 0
	for i := range watch.tenures {
		if watch.tenures[i].early {
			count++
		}
	}
	return count
}
