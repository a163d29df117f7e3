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

// staleLeaderAfter is how long a replaced leader may continue to call the cloud.
const staleLeaderAfter = 6 * time.Second

// leadershipMonitor records the successive leaders and checks that a replaced leader does not
// interfere with its successors: every decision that is conditional on the leader's key is
// committed by the holder of that key, and once a leader has called the cloud no earlier
// leader calls it any more.
type leadershipMonitor struct {
	sim                  *Simulation
	rng                  *rand.Rand // for messages between the leader and its peers; see heartbeatStream
	tenures              []leaderTenure
	lastCloudTenure      int           // index of the latest tenure in which the cloud was called; -1: none
	failedAt             time.Duration // when the current leader crashed or froze; 0: it did not
	nextClaimantDowntime time.Duration // downtime of the next controller that claims the leadership, which crashes then; 0: no crash
	standby              string        // label of the standby, from the last heartbeat of a leader
	heartbeats           int           // number of heartbeats sent by leaders
	failedClaims         int           // number of claims that failed because of a conflict
	disconnectDelay      time.Duration // time until peers detect a closed connection
}

// leaderTenure is the period of one claim of the leadership.
type leaderTenure struct {
	controller      string
	early           bool          // it replaced another controller whose record had not expired
	firstDecisionAt time.Duration // when the leader first committed a change of a job's record; 0: not yet
	failedAt        time.Duration // when the previous leader crashed or froze; 0: it did not
}

// newLeadershipMonitor returns a leadershipMonitor without tenures.
func newLeadershipMonitor(sim *Simulation) *leadershipMonitor {
	return &leadershipMonitor{
		sim: sim, rng: rand.New(rand.NewPCG(sim.Seed, heartbeatStream)),
		lastCloudTenure: -1, disconnectDelay: 2 * time.Millisecond,
	}
}

// drawLatency draws the delivery time of a message between the leader and a peer.
func (m *leadershipMonitor) drawLatency() time.Duration {
	return time.Millisecond + time.Duration(m.rng.IntN(6000))*time.Microsecond
}

// currentTenure returns the tenure of the latest leader, or nil before the first one.
func (m *leadershipMonitor) currentTenure() *leaderTenure {
	if len(m.tenures) == 0 {
		return nil
	}
	return &m.tenures[len(m.tenures)-1]
}

// recordClaim records a claim of the leadership that is about to be written. It reports
// whether the claim begins a new tenure. A claim by the current leader whose record is not
// fenced does not begin one: the leader renews its claim in order to become fenced.
func (m *leadershipMonitor) recordClaim(claim *wire.Leader) bool {
	sim, holder := m.sim, m.sim.store.leader()
	if holder != nil {
		same := wire.Leader{Controller: claim.Controller, Incarnation: claim.Incarnation, Streak: holder.Streak}
		if *holder == same {
			return false
		}
	}
	early := holder != nil && holder.Controller != claim.Controller
	if early && (!holder.Fenced || claim.Streak == 0) {
		sim.rules.reportViolation("unfenced_takeover", "%s replaced the leader %+v before its lease expired", claim.Controller, holder)
	}
	if downtime := m.nextClaimantDowntime; downtime > 0 {
		m.nextClaimantDowntime = 0
		claimant := sim.controllers[sim.controllerIndexOf(claim.Controller)]
		sim.after(0, func() { claimant.crash(downtime) })
	}
	m.tenures = append(m.tenures, leaderTenure{controller: claim.Controller, early: early, failedAt: m.failedAt})
	m.failedAt = 0
	return true
}

// recordFailure records that a controller crashes or freezes now, if it is the current leader.
func (m *leadershipMonitor) recordFailure(ctrl *controller) {
	if tenure := m.currentTenure(); tenure != nil && tenure.controller == ctrl.label && m.failedAt == 0 {
		m.failedAt = m.sim.now
	}
}

// countFailedClaim counts a transaction that failed because of its conditions if it was a
// claim of the leadership.
func (m *leadershipMonitor) countFailedClaim(writes []recordWrite) {
	if slices.ContainsFunc(writes, func(write recordWrite) bool { return write.key == wire.LeaderKey && write.raw != nil }) {
		m.failedClaims++
	}
}

// slowestEarlyTakeover returns the longest time from the failure of a leader that was replaced
// early until the first decision of its successor.
func (m *leadershipMonitor) slowestEarlyTakeover() time.Duration {
	slowest := time.Duration(0)
	for _, tenure := range m.tenures {
		if tenure.early && tenure.failedAt > 0 && tenure.firstDecisionAt > 0 {
			slowest = max(slowest, tenure.firstDecisionAt-tenure.failedAt)
		}
	}
	return slowest
}

// countEarlyTakeovers returns the number of takeovers that happened before the lease expired.
func (m *leadershipMonitor) countEarlyTakeovers() int {
	count := 0
	for _, tenure := range m.tenures {
		if tenure.early {
			count++
		}
	}
	return count
}

// checkCommit checks a transaction that has been committed: if it is conditional on the
// leader's key and is not itself a claim, the controller must be the leader. It also records
// when a tenure first changes a job's record.
func (m *leadershipMonitor) checkCommit(ctrl *controller, conditions []kv.Condition, writes []recordWrite) {
	tenure := m.currentTenure()
	underClaim := slices.ContainsFunc(conditions, func(c kv.Condition) bool { return c.Key == wire.LeaderKey && c.Revision > 0 })
	isClaim := slices.ContainsFunc(writes, func(write recordWrite) bool { return write.key == wire.LeaderKey })
	if tenure == nil || !underClaim || isClaim {
		return
	}
	if tenure.controller != ctrl.label {
		m.sim.rules.reportViolation("foreign_decision", "%s committed a decision under the claim of %s", ctrl.label, tenure.controller)
	}
	changesJob := slices.ContainsFunc(writes, func(write recordWrite) bool { return strings.HasPrefix(write.key, wire.JobPrefix) })
	if tenure.firstDecisionAt == 0 && changesJob {
		tenure.firstDecisionAt = m.sim.now
	}
}

// checkCloudCall checks that a controller may provision or deprovision machines: it must not
// be a stale leader, and no later leader may have called the cloud. It also updates
// lastCloudTenure.
func (m *leadershipMonitor) checkCloudCall(ctrl *controller, call core.CallCloud) {
	if call.Provision == nil && call.Deprovision == nil {
		return
	}
	if m.isStale(ctrl) {
		m.sim.rules.reportViolation("stale_leader", "%s called the cloud while another controller leads", ctrl.label)
	}
	latest := -1
	for i, tenure := range m.tenures {
		if tenure.controller == ctrl.label {
			latest = i
		}
	}
	if latest < m.lastCloudTenure {
		m.sim.rules.reportViolation("two_leaders_at_cloud", "%s called the cloud after %s, a later leader", ctrl.label, m.tenures[m.lastCloudTenure].controller)
	}
	m.lastCloudTenure = max(m.lastCloudTenure, latest)
}

// isStale reports whether another controller has been the leader for longer than
// staleLeaderAfter. A stale leader would deprovision machines that are in use.
func (m *leadershipMonitor) isStale(ctrl *controller) bool {
	leader := m.sim.store.leader()
	return leader != nil && leader.Controller != ctrl.label && m.sim.now-m.sim.store.leaderSince > staleLeaderAfter
}
