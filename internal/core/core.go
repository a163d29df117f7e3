// Package core is the state machine of a controller. It has no input or output of its own:
// Step takes an input and the steady time, and returns the effects that are to be carried
// out. The same inputs always give the same effects.
//
// Node routes inputs to its parts and gathers their effects. What a part decides stands in a
// package of its own where that has a clean seam (replica, ownership, leadership, failover,
// gang, quota); the rest is in files here by subject: users' requests, heartbeats of workers,
// placement by owners, the scheduler (scheduler_*.go), the autoscaler (autoscaler_*.go) and
// gossip.
package core

import (
	"net/http"
	"slices"

	"micaport/internal/gang"
	"micaport/internal/leadership"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// Node is the state machine of one controller. Everything in it can be lost: the records in
// the state service are the sole truth.
type Node struct {
	site

	out     []Effect // of the present step
	nextID  uint64
	pending map[uint64]continuation // requests under way, by id

	leadership *leadership.Leadership
	gangs      *gang.Attempts

	storeState
	gossipState
	ownerState

	leader   leaderState
	failover failoverState
	users    pendingRequests

	budget           writeBudget
	runTimeEstimator runTimeEstimator

	arrivals arrivalForecast

	cloudUnreachableSince Time   // since when the cloud has not answered; 0: it does
	resumedAt             Time   // when the process last found out that it had been stalled; 0: never
	workCount             uint64 // machines looked at so far
}

// New makes the state machine of a controller that has just started.
func New(cfg Config) *Node {
	n := &Node{
		site:        site{cfg: cfg, topology: topology{names: &replica.Names{}}},
		pending:     map[uint64]continuation{},
		gangs:       gang.NewAttempts(),
		gossipState: newGossipState(),
		ownerState:  newOwnerState(),
	}
	if n.cfg.Format == 0 {
		n.cfg.Format = wire.Format
	}
	for _, zone := range slices.Sorted(slices.Values(cfg.Zones)) {
		n.names.Zones.Of(zone)
	}
	for i := range cfg.Teams {
		n.names.Teams.Of(cfg.Teams[i].Name)
	}
	n.initOwnership()
	n.initLeadership()
	n.initReplica()
	n.initFailover()
	for _, objective := range cfg.StartObjectives {
		n.arrivals.addObjective(objective)
	}
	n.leader.sharesDistributedAt = neverDistributed(len(cfg.Teams))
	n.leader.reset()
	n.batch.role = "owner"
	return n
}

// Step takes one input and returns its effects.
func (n *Node) Step(now Time, in Input) []Effect {
	n.out = nil
	if gap := now - n.now; n.now > 0 && gap > stallThreshold {
		n.now = now
		n.resumeAfterStall(gap)
	}
	n.now = max(n.now, now)
	n.replica.SetTime(n.now)
	switch x := in.(type) {
	case Tick:
	case WorkerReported:
		n.workerHeartbeat(x)
	case UserRequest:
		n.userRequest(x)
	case ForwardAnswered:
		n.forwardAnswered(x)
	case Committed:
		n.deliverResult(x.ID, x)
	case CommandsAnswered:
		n.deliverResult(x.ID, x)
	case JobRead:
		n.deliverResult(x.ID, x)
	case LeaseAnswered:
		n.deliverResult(x.ID, x)
	case CloudAnswered:
		n.deliverResult(x.ID, x)
	case RecordsChanged:
		n.recordsChanged(x)
	case GossipReceived:
		n.gossipReceived(x.Message)
	case HeartbeatReceived:
		n.leaderHeartbeat(x.Message)
	case Disconnected:
		n.disconnected(x.Peer)
	case DecisionLogReceived:
		n.decisionLogReceived(x)
	case DecisionLogAcknowledged:
		n.failover.publisher.Acknowledged(n.now, x.Ack)
	case StatusRequest:
		n.emit(Reply{RequestID: x.RequestID, Status: http.StatusOK, Body: n.leadershipStatus()})
	}
	n.runTimers()
	return n.out
}

// runTimers does whatever is due. It is cheap when nothing is.
func (n *Node) runTimers() {
	n.renewLeases()
	if !n.replica.Loaded() {
		return
	}
	n.writeFormat()
	n.claimShards()
	n.runFailover()
	n.claimLeader()
	n.proveOwnership()
	n.runOwner()
	n.sendDelayedReplies()
	n.sendDirectStarts()
	n.shareOwnViews()
	n.runLeader()
	n.sendGossip(false)
	n.writeImageCache()
	n.forgetMachines()
	n.askRevision()
	n.answerStatusRequests()
	n.expireRequests()
}

// emit adds an effect to those of the present step.
func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

// log emits a line of the log: a constant message, and attributes as pairs of key and value.
func (n *Node) log(level LogLevel, text string, args ...any) {
	n.emit(Log{Level: level, Text: text, Args: args})
}

// Work counts machines looked at since the start, for tests of how cost grows.
func (n *Node) Work() uint64 { return n.workCount }

// Ready tells whether user requests can be taken. It stays true through an
// outage, since a removal from the balancer outlasts it.
func (n *Node) Ready() bool { return true }
