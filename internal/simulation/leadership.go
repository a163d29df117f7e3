package simulation

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// staleLeaderAfter is how long a replaced leader may go on calling the cloud.
const staleLeaderAfter = 6 * time.Second

// leadershipWatch follows who leads, and checks what must hold between a replaced leader
// and the next: every decision on condition of the leader's key is by its holder, and once
// a leader has called the cloud none before it does.
type leadershipWatch struct {
	sim               *Simulation
	rng               *rand.Rand // for messages between leader and peers; see heartbeatStream
	tenures           []leaderTenure
	lastCloudTenure   int           // index of the latest tenure under which the cloud was called; -1: none
	failedAt          time.Duration // when the present leader ended or froze; 0: it did not
	crashNextClaimant time.Duration // for how long the next controller to claim the leadership ends; 0: it does not
	standby           string        // that the last heartbeat named
	heartbeats        int           // of leaders
	failedClaims      int           // claims that failed since another had been carried out
	disconnectDelay   time.Duration // until peers see that a connection has ended
}

// leaderTenure is the time under one claim of the leadership.
type leaderTenure struct {
	controller string
	early      bool          // it replaced a live record of another controller
	decidedAt  time.Duration // when the first commit changed a job's record; 0: none did
	failedAt   time.Duration // when the leader before ended or froze; 0: it did not
}

// newLeadershipWatch returns a watch that has seen no leader.
func newLeadershipWatch(sim *Simulation) *leadershipWatch {
	return &leadershipWatch{
		sim: sim, rng: rand.New(rand.NewPCG(sim.Seed, heartbeatStream)),
		lastCloudTenure: -1, disconnectDelay: 2 * time.Millisecond,
	}
}

// latency draws the time that a message between leader and peers takes.
func (w *leadershipWatch) latency() time.Duration {
	return time.Millisecond + time.Duration(w.rng.IntN(6000))*time.Microsecond
}

// current returns the tenure of the present leader, or nil if none has led.
func (w *leadershipWatch) current() *leaderTenure {
	if len(w.tenures) == 0 {
		return nil
	}
	return &w.tenures[len(w.tenures)-1]
}

// recordClaim records a claim that is about to be carried out. It reports whether a process
// begins to lead with it; one that leads already may claim anew to be fenced.
func (w *leadershipWatch) recordClaim(claim *wire.Leader) bool {
	sim, holder := w.sim, w.sim.store.leader()
	if holder != nil {
		same := wire.Leader{Controller: claim.Controller, Incarnation: claim.Incarnation, Streak: holder.Streak}
		if *holder == same {
			return false
		}
	}
	early := holder != nil && holder.Controller != claim.Controller
	if early && (!holder.Fenced || claim.Streak == 0) {
		sim.rules.violated("unfenced_takeover", "%s replaces %+v", claim.Controller, holder)
	}
	if away := w.crashNextClaimant; away > 0 {
		w.crashNextClaimant = 0
		claimant := sim.controllers[sim.labelled(claim.Controller)]
		sim.after(0, func() { claimant.crash(away) })
	}
	w.tenures = append(w.tenures, leaderTenure{controller: claim.Controller, early: early, failedAt: w.failedAt})
	w.failedAt = 0
	return true
}

// recordFailure records that a controller ends or freezes now.
func (w *leadershipWatch) recordFailure(ctrl *controller) {
	if tenure := w.current(); tenure != nil && tenure.controller == ctrl.label && w.failedAt == 0 {
		w.failedAt = w.sim.now
	}
}

// recordConflict records a transaction that failed on its conditions.
func (w *leadershipWatch) recordConflict(writes []recordWrite) {
	if slices.ContainsFunc(writes, func(write recordWrite) bool { return write.key == wire.LeaderKey && write.raw != nil }) {
		w.failedClaims++
	}
}

// slowestTakeover returns the longest time from the failure of a leader until the first
// decision of the next, of those that were replaced early.
func (w *leadershipWatch) slowestTakeover() time.Duration {
	slowest := time.Duration(0)
	for _, tenure := range w.tenures {
		if tenure.early && tenure.failedAt > 0 && tenure.decidedAt > 0 {
			slowest = max(slowest, tenure.decidedAt-tenure.failedAt)
		}
	}
	return slowest
}

// countEarly counts the takeovers that did not wait for the lease to expire.
func (w *leadershipWatch) countEarly() int {
	count := 0
	for _, tenure := range w.tenures {
		if tenure.early {
			count++
		}
	}
	return count
}

// checkCommit checks a transaction that has been carried out: if it is a leader's decision,
// the controller leads.
func (w *leadershipWatch) checkCommit(ctrl *controller, conditions []kv.Condition, writes []recordWrite) {
	tenure := w.current()
	underClaim := slices.ContainsFunc(conditions, func(c kv.Condition) bool { return c.Key == wire.LeaderKey && c.Revision > 0 })
	isClaim := slices.ContainsFunc(writes, func(write recordWrite) bool { return write.key == wire.LeaderKey })
	if tenure == nil || !underClaim || isClaim {
		return
	}
	if tenure.controller != ctrl.label {
		w.sim.rules.violated("foreign_decision", "%s decides under the claim of %s", ctrl.label, tenure.controller)
	}
	changesJob := slices.ContainsFunc(writes, func(write recordWrite) bool { return strings.HasPrefix(write.key, wire.JobPrefix) })
	if tenure.decidedAt == 0 && changesJob {
		tenure.decidedAt = w.sim.now
	}
}

// checkCloudCall checks that a controller may provision or deprovision machines: it was not
// replaced long ago, and no later leader has called the cloud.
func (w *leadershipWatch) checkCloudCall(ctrl *controller, call core.CallCloud) {
	if call.Provision == nil && call.Deprovision == nil {
		return
	}
	if w.isStale(ctrl) {
		w.sim.rules.violated("stale_leader", "%s calls the cloud", ctrl.label)
	}
	latest := -1
	for i, tenure := range w.tenures {
		if tenure.controller == ctrl.label {
			latest = i
		}
	}
	if latest < w.lastCloudTenure {
		w.sim.rules.violated("two_leaders_at_cloud", "%s calls after %s", ctrl.label, w.tenures[w.lastCloudTenure].controller)
	}
	w.lastCloudTenure = max(w.lastCloudTenure, latest)
}

// isStale reports whether another controller has led for longer than staleLeaderAfter. A
// stale leader would deprovision machines that are in use.
func (w *leadershipWatch) isStale(ctrl *controller) bool {
	leader := w.sim.store.leader()
	return leader != nil && leader.Controller != ctrl.label && w.sim.now-w.sim.store.leaderSince > staleLeaderAfter
}
