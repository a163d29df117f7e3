// Package core implements the deterministic state machine of a controller. It performs no
// I/O: Step takes an input and the monotonic time and returns the effects for the caller to
// carry out. The same sequence of inputs always gives the same effects.
//
// Node dispatches inputs to its components and collects their effects. Components with few
// dependencies are separate packages (replica, ownership, leadership, failover, gang, quota).
// The others are in this package, in files by subject: user requests, worker heartbeats,
// placement by shard owners, the scheduler (scheduler_*.go), the autoscaler (autoscaler_*.go)
// and gossip.
package core

import (
	"net/http"
	"slices"

	"micaport/internal/gang"
	"micaport/internal/leadership"
	"micaport/internal/machinetypes"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// Node is the state machine of one controller. Its state is not persisted; the records in the
// state service are the only source of truth.
type Node struct {
	site

	effects       []Effect // effects of the current step
	nextID        uint64
	continuations map[uint64]continuation // continuations of requests in flight, by request ID

	leadership *leadership.Leadership
	gangs      *gang.Attempts

	storeState
	gossipState
	ownerState

	leader       leaderState
	failover     failoverState
	userRequests pendingRequests

	budget           writeBudget
	runTimeEstimator runTimeEstimator

	typePublisher     *machinetypes.Publisher
	typeConfirmations typeConfirmations

	arrivals arrivalForecast

	cloudUnreachableSince Time   // when the cloud stopped answering; 0 while it answers
	resumedAt             Time   // when the process last detected that it had been stalled; 0 if never
	examinedMachines      uint64 // see ExaminedMachines
}

// New returns the state machine of a controller that has just started.
func New(cfg Config) *Node {
	n := &Node{
		site:          site{cfg: cfg, topology: topology{names: &replica.Names{}}},
		continuations: map[uint64]continuation{},
		gangs:         gang.NewAttempts(),
		gossipState:   newGossipState(),
		ownerState:    newOwnerState(),
	}
	if n.cfg.Format == 0 {
		n.cfg.Format = wire.Format
	}
	for _, zone := range slices.Sorted(slices.Values(cfg.Zones)) {
		n.names.Zones.Intern(zone)
	}
	for i := range cfg.Teams {
		n.names.Teams.Intern(cfg.Teams[i].Name)
	}
	n.initMachineTypes()
	n.initOwnership()
	n.initLeadership()
	n.initReplica()
	n.initFailover()
	for _, objective := range cfg.StartObjectives {
		n.arrivals.addObjective(objective)
	}
	n.leader.sharesDistributedAt = initialDistributionTimes(len(cfg.Teams))
	n.leader.reset()
	n.batch.role = "owner"
	return n
}

// Step applies one input, runs the timers that are due and returns the resulting effects.
func (n *Node) Step(now Time, in Input) []Effect {
	n.effects = nil
	if gap := now - n.now; n.now > 0 && gap > stallThreshold {
		n.now = now
		n.resumeAfterStall(gap)
	}
	n.now = max(n.now, now)
	n.replica.SetTime(n.now)
	switch x := in.(type) {
	case Tick:
	case WorkerReported:
		n.receiveWorkerHeartbeat(x)
	case UserRequest:
		n.receiveUserRequest(x)
	case ForwardAnswered:
		n.receiveForwardAnswer(x)
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
		n.applyRecordChanges(x)
	case GossipReceived:
		n.receiveGossip(x.Message)
	case HeartbeatReceived:
		n.receiveLeaderHeartbeat(x.Message)
	case Disconnected:
		n.peerDisconnected(x.Peer)
	case DecisionLogReceived:
		n.receiveDecisionLog(x)
	case DecisionLogAcknowledged:
		n.failover.logPublisher.ReceiveAck(n.now, x.Ack)
	case StatusRequest:
		n.emit(Reply{RequestID: x.RequestID, Status: http.StatusOK, Body: n.leadershipStatus()})
	}
	n.runTimers()
	return n.effects
}

// runTimers runs all periodic and delayed work that is due. It is cheap when nothing is due. Until
// the first listing of the records has been applied, it only renews leases.
func (n *Node) runTimers() {
	n.renewLeases()
	if !n.replica.Loaded() {
		return
	}
	n.writeSupportedFormat()
	n.claimShards()
	n.runFailover()
	n.claimLeader()
	n.proveOwnership()
	n.processInNewTerm()
	n.runOwner()
	n.sendDelayedReplies()
	n.sendDirectStarts()
	n.updateAndSendOwnViews()
	n.runLeader()
	n.sendOrExpediteGossip(false)
	n.writeImageCache()
	n.removeGoneMachines()
	n.queryRevision()
	n.answerStatusQueries()
	n.confirmMachineTypes()
	n.expireRequests()
}

// emit adds an effect to the current step.
func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

// log emits a log record with a constant message and attributes as key-value pairs.
func (n *Node) log(level LogLevel, text string, args ...any) {
	n.emit(Log{Level: level, Text: text, Args: args})
}

// ExaminedMachines returns how many machines the loops over machines have visited since the start,
// with repeated visits. Tests use it to measure how the cost grows with the number of machines.
func (n *Node) ExaminedMachines() uint64 { return n.examinedMachines }

// Ready reports whether the controller accepts user requests. It stays true during an outage
// of the state service, because a removal from the load balancer would outlast the outage.
func (n *Node) Ready() bool { return true }
