// Package core is the state machine of a controller. It has no input or
// output of its own: Step takes an input and the steady time, and returns what
// is to be sent, written and answered. The same inputs always give the same
// effects.
package core

import (
	"net/http"
	"slices"

	"micaport/internal/gang"
	"micaport/internal/leadership"
	"micaport/internal/ownership"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// Node is the state machine of one controller. It is made of what its roles know and
// remember; apart from the records all of it can be lost.
type Node struct {
	cfg Config
	now Time
	out []Effect // effects of the present step

	nextID  uint64
	pending map[uint64]continuation // requests under way, by id

	names   *replica.Names
	replica *replica.Replica
	jobs    []*job // by index of their id, as in the replica
	gangs   *gang.Attempts

	ownership  *ownership.Table
	leadership *leadership.Leadership

	topology
	storeState
	gossipState
	ownerState

	leader   leaderState
	failover failoverState
	users    userState

	budget           writeBudget
	runTimeEstimator runTimeEstimator

	arrivals arrivalForecast

	cloudUnreachableSince Time   // since when the cloud has not answered; 0: it does
	resumedAt             Time   // when the process last found out that it had been stalled; 0: never
	workCount             uint64 // machines looked at so far
}

// topology is what there is at the site. Names are mapped to indices where they come in.
type topology struct {
	offeredTypes   []wire.MachineType
	typesFetchedAt Time                // when the cloud last told of the machine types
	typesRevision  uint64              // of the stored machine types
	machineTypes   []*wire.MachineType // by index of their name; nil: not on offer

	shards   []*shard
	machines []*machine
}

// storeState is how we stand with the state service.
type storeState struct {
	storeOK         bool
	storeOKSince    Time // since when it has served us
	storeAnsweredAt Time // last proof that it serves us

	formatAt Time // when our record of the formats that we read is written, if it is not there
}

// gossipState is what we tell the other controllers and hear of them.
type gossipState struct {
	peers              map[string]*peer
	gossipAt           Time
	gossipSentAt       Time
	version            uint64       // of our view of our own machines
	changeLog          []viewChange // of our machines, in order of version
	strayMachines      []int        // machines of others that came here lately
	reservedMachines   map[int]int  // machines that the leader keeps for a job
	reservedMachinesAt Time
	draining           []int // machines that the leader wants emptied
	ownViewAt          Time

	refusedSince map[string]Time
	mailboxAt    Time
}

// ownerState is what we remember as the owner of shards.
type ownerState struct {
	heldReplies   []heldReply
	heldRepliesAt Time
	unstarted     []int // machines of ours with a task that they have not shown
	batch         batch
	placementAt   Time
	outcomes      map[taskKey]taskOutcome // what became of tasks, not yet in their records
	gangsToStop   map[int]bool            // gangs to be stopped in good order
	grantSeenAt   map[taskKey]Time

	admissionAt    Time // when we next look for work to admit by ourselves
	cleanupAt      Time
	imageCacheAt   Time
	imageCacheSize int // entries in the record of images as last written
}

// peer is what we have last heard of another controller.
type peer struct {
	heardAt   Time
	message   *wire.Gossip
	version   uint64 // how far we have taken in its changes
	byMailbox bool   // heard through the state service only
	broken    bool   // our connection to it has broken since
}

// New makes a node. Its shards follow from the settings alone.
func New(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		names:   &replica.Names{},
		pending: map[uint64]continuation{},
		gangs:   gang.NewAttempts(),
		gossipState: gossipState{
			peers:            map[string]*peer{},
			reservedMachines: map[int]int{},
			refusedSince:     map[string]Time{},
		},
		ownerState: ownerState{
			outcomes:    map[taskKey]taskOutcome{},
			gangsToStop: map[int]bool{},
			grantSeenAt: map[taskKey]Time{},
		},
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
	n.sendHeldReplies()
	n.sendDirectStarts()
	if n.now >= n.ownViewAt {
		// Changes on our machines are told at once, silence now and then.
		n.ownViewAt = n.now + second
		was := n.version
		n.updateOwnViews()
		n.sendGossip(n.version != was)
	}
	n.runLeader()
	n.sendGossip(false)
	n.writeImageCache()
	n.forgetMachines()
	n.askRevision()
	n.answerStatusRequests()
	n.expireRequests()
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

func (n *Node) log(level LogLevel, text string, args ...any) {
	n.emit(Log{Level: level, Text: text, Args: args})
}

// Work counts machines looked at since the start, for tests of how cost grows.
func (n *Node) Work() uint64 { return n.workCount }

// Ready tells whether user requests can be taken. It stays true through an
// outage, since a removal from the balancer outlasts it.
func (n *Node) Ready() bool { return true }
