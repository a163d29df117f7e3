package simulation

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// takeoverWatch follows who leads, and checks what must hold between a replaced leader
// and the next: every decision under the leader key is its holder's, and once a leader
// has called the cloud none before it does.
type takeoverWatch struct {
	w            *World
	rng          *rand.Rand // of heartbeats alone, so that other traffic is as without them
	tenures      []tenure
	cloudTenure  int           // the latest tenure under which the cloud was called
	failedAt     time.Duration // when the present leader was ended or stopped; 0: it was not
	endNext      time.Duration // for how long the next to claim ends at once; 0: it does not
	standby      string        // that the last heartbeat named
	heartbeats   int
	logBytes     int           // of facts that leaders have sent their standbys
	lostClaims   int           // claims that failed as another had been carried out
	disconnected time.Duration // how long the end of a connection takes to be seen
}

// tenure is the time under one claim.
type tenure struct {
	node     string
	term     uint64
	early    bool // it replaced a live record of another controller
	claimed  time.Duration
	decided  time.Duration // the first commit that changes a job's record; 0: none
	failedAt time.Duration // when the leader before was ended or stopped; 0: it was not
}

func newTakeoverWatch(w *World) *takeoverWatch {
	return &takeoverWatch{w: w, rng: rand.New(rand.NewPCG(w.Seed, 11)), cloudTenure: -1, disconnected: 2 * time.Millisecond}
}

// holder is the controller whose claim stands.
func (w *World) holder() *wire.Leader {
	k := w.store.keys[wire.LeaderKey]
	if k == nil {
		return nil
	}
	return decode(wire.LeaderKey, k.raw).(*wire.Leader)
}

// claims notes a claim that is about to be carried out. It tells whether a process begins
// to lead with it; one that leads already may claim anew to be fenced.
func (t *takeoverWatch) claims(claim *wire.Leader, term uint64) bool {
	holder := t.w.holder()
	if holder != nil && *holder == (wire.Leader{Controller: claim.Controller, Incarnation: claim.Incarnation, Streak: holder.Streak}) {
		t.tenures[len(t.tenures)-1].term = term
		return false
	}
	early := holder != nil && holder.Controller != claim.Controller
	if early && (!holder.Fenced || claim.Streak == 0) {
		t.w.broke("unfenced_takeover", "%s replaces %+v", claim.Controller, holder)
	}
	if t.endNext > 0 {
		away, ix := t.endNext, slices.IndexFunc(t.w.nodes, func(n *node) bool { return n.label == claim.Controller })
		t.endNext = 0
		t.w.after(0, func() { t.w.Crash(ix, away) })
	}
	t.tenures = append(t.tenures, tenure{node: claim.Controller, term: term, early: early, claimed: t.w.now, failedAt: t.failedAt})
	t.failedAt = 0
	return true
}

// failing notes that the leader is ended or stopped now.
func (t *takeoverWatch) failing(ix int) {
	if len(t.tenures) > 0 && t.tenures[len(t.tenures)-1].node == t.w.nodes[ix].label && t.failedAt == 0 {
		t.failedAt = t.w.now
	}
}

// slowest is the longest time from the failure of a leader until the next one's first
// decision, of those that were replaced early.
func (t *takeoverWatch) slowest() time.Duration {
	most := time.Duration(0)
	for i := range t.tenures {
		if x := &t.tenures[i]; x.early && x.failedAt > 0 && x.decided > 0 {
			most = max(most, x.decided-x.failedAt)
		}
	}
	return most
}

// committed checks a transaction that has been carried out.
func (t *takeoverWatch) committed(n *node, conds []core.Condition, puts []put) {
	if len(t.tenures) == 0 || !slices.ContainsFunc(conds, func(c core.Condition) bool { return c.Key == wire.LeaderKey && c.Revision > 0 }) ||
		slices.ContainsFunc(puts, func(p put) bool { return p.key == wire.LeaderKey }) {
		return
	}
	now := &t.tenures[len(t.tenures)-1]
	if now.node != n.label {
		t.w.broke("foreign_decision", "%s decides under the claim of %s", n.label, now.node)
	}
	if now.decided == 0 && slices.ContainsFunc(puts, func(p put) bool { return strings.HasPrefix(p.key, wire.JobPrefix) }) {
		now.decided = t.w.now
	}
}

// lost notes a transaction that failed on its conditions.
func (t *takeoverWatch) lost(puts []put) {
	if slices.ContainsFunc(puts, func(p put) bool { return p.key == wire.LeaderKey && p.raw != nil }) {
		t.lostClaims++
	}
}

// calls checks that a controller may have the cloud provision or return.
func (t *takeoverWatch) calls(n *node) {
	latest := -1
	for i := range t.tenures {
		if t.tenures[i].node == n.label {
			latest = i
		}
	}
	if latest < t.cloudTenure {
		t.w.broke("two_leaders_at_cloud", "%s calls after %s", n.label, t.tenures[t.cloudTenure].node)
	}
	t.cloudTenure = max(t.cloudTenure, latest)
}

// early counts the takeovers that did not wait for the lease.
func (t *takeoverWatch) early() int {
	count := 0
	for i := range t.tenures {
		if t.tenures[i].early {
			count++
		}
	}
	return count
}

// heartbeat carries a leader's heartbeat to a peer.
func (n *node) heartbeat(x core.SendHeartbeat) {
	w, t := n.w, n.w.takeovers
	t.standby = x.Message.Standby
	t.heartbeats++
	for _, m := range w.nodes {
		if m.label != x.To || w.cut(n.label, n.zone, m.label, m.zone) || w.now < w.lossTo && t.rng.Float64() < w.loss {
			continue
		}
		msg := *x.Message
		m.deliver(time.Millisecond+time.Duration(t.rng.IntN(6000))*time.Microsecond, core.HeartbeatReceived{Message: &msg})
	}
}

// sendLog carries a message of the decision log to the standby, and its answer back.
func (n *node) sendLog(x core.SendDecisionLog) {
	w, t := n.w, n.w.takeovers
	delay := func() time.Duration { return time.Millisecond + time.Duration(t.rng.IntN(6000))*time.Microsecond }
	lost := func(m *node) bool {
		return w.cut(n.label, n.zone, m.label, m.zone) || w.now < w.lossTo && t.rng.Float64() < w.loss
	}
	for _, m := range w.nodes {
		if m.label != x.To || lost(m) {
			continue
		}
		t.logBytes += len(x.Message.Facts)
		life, sender := m.life, n.life
		w.after(delay(), func() {
			if m.life != life || !m.up {
				return
			}
			m.req++
			m.wait[m.req] = func(r core.Reply) {
				if n.life == sender && !lost(m) {
					n.deliver(delay(), core.DecisionLogAcknowledged{Ack: r.Body.(wire.DecisionLogAck)})
				}
			}
			m.step(core.DecisionLogReceived{RequestID: m.req, Message: x.Message})
		})
	}
}

// disconnect tells the peers of a controller that has ended that their connections broke.
func (w *World) disconnect(n *node) {
	for _, m := range w.nodes {
		if m != n && !w.cut(n.label, n.zone, m.label, m.zone) {
			m.deliver(w.takeovers.disconnected, core.Disconnected{Peer: n.label})
		}
	}
}
