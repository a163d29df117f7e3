// Package core is the state machine of a controller. It has no input or
// output of its own: Step takes an input and the steady time, and returns what
// is to be sent, written and answered. The same inputs always give the same
// effects.
package core

import (
	"net/http"
	"slices"
	"time"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Node is the state machine of one controller. It is made of what its roles know and
// remember; apart from the records all of it can be lost.
type Node struct {
	cfg Config
	now Time
	out []Effect // effects of the present step

	nextID  uint64
	pending map[uint64]func(Result) // what to do with the results of requests, by their ids

	recordsCopy
	siteView
	storeLink
	peerExchange
	ownerState

	leader leaderState
	leadership
	standby standbyState
	users   userState

	budget   writeBudget
	runTimes runTimes

	arrivals    []*arrivals
	countedFrom Time // since when arrivals are counted; 0: not yet

	resumedAt Time   // when we last found out that we had stood still
	work      uint64 // machines looked at so far
}

// recordsCopy is our copy of the records.
type recordsCopy struct {
	loaded   bool   // the first listing has been taken in
	rev      uint64 // how far the copy goes
	jobs     []*job
	refs     wire.Interner // of jobs
	finished map[finishedKind]*wire.Job
	live     []int // jobs that are unfinished or still have tasks on machines
	gangs    map[string]*gang

	continuations map[string]map[int]wire.Actives // active tasks in further keys, by job
	// Parts of lists of needs, by job and key, while the job's record is not taken in.
	needsLists         map[string]map[string][]string
	derivedWithdrawals []int // jobs below a withdrawn one, not yet recorded as such
	shrunk             bool  // no record is larger than the limits to come

	ledger *quota.Ledger // of the teams' accounts and what is charged to them
	terms  []Team        // the teams' guarantees and limits that are in force

	formats  map[string]int // the format that each controller reads
	agreed   int            // the newest format that all controllers read
	formatAt Time           // when we leave our own record of it, if it is not there

	types  []wire.Flavor
	rigsAt Time   // when the cloud last told of the machine types
	rigRev uint64 // of the stored machine types
}

// finishedKind is what tells finished jobs apart that have nothing left on machines.
type finishedKind struct {
	state  wire.JobState
	frames int
}

// siteView is what there is at the site. Names are mapped to indices where they come in.
type siteView struct {
	zones, teams, rigs, images, hostIx wire.Interner

	flavors   []*wire.Flavor // by index of their name; nil: not on offer
	parts     []*part
	zoneParts []partRange // by zone
	hosts     []*host
}

// partRange is a run of neighbours among the parts.
type partRange struct{ first, count int }

// storeLink is how we stand with the state service.
type storeLink struct {
	storeOK    bool
	storeSince Time // since when it has served us
	storeAt    Time // last proof that it serves us

	partLease lease
	leadLease lease
	checkAt   Time
	checks    []check
	provenAt  Time // when the last check that has settled was sent
}

// peerExchange is what we tell the other controllers and hear of them.
type peerExchange struct {
	peers       map[string]*peer
	gossipAt    Time
	gossipLast  Time
	ver         uint64      // of our view of our own machines
	changeLog   []change    // of our machines, in order of version
	strayHosts  []int       // machines of others that came here lately
	keptHosts   map[int]int // machines that the leader keeps for a job
	keptHostsAt Time
	retiring    []int // machines that the leader wants emptied
	ownInfoAt   Time

	refusedSince map[string]Time
	roomAt       Time
}

// ownerState is what we remember as the owner of parts.
type ownerState struct {
	held      []heldReport
	heldAt    Time
	unstarted []int // machines of ours with a task that they have not shown
	owner     batch
	ownerAt   Time
	results   map[taskKey]result // what became of tasks, not yet in their records
	stopJobs  map[int]bool       // gangs to be stopped in good order
	grantSeen map[taskKey]Time

	admissionAt Time // when we next look for work to admit by ourselves
	tidyAt      Time
	imagesAt    Time
	imagesKept  int // entries in the record of images as last written
}

// peer is what we have last heard of another controller.
type peer struct {
	at      Time
	msg     *wire.Gossip
	have    uint64 // how far we have taken in its changes
	byStore bool   // heard through the state service only
	broken  bool   // our connection to it has broken since
}

// New makes a node. Its parts follow from the settings alone.
func New(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		pending: map[uint64]func(Result){},
		recordsCopy: recordsCopy{
			finished:      map[finishedKind]*wire.Job{},
			gangs:         map[string]*gang{},
			continuations: map[string]map[int]wire.Actives{},
			needsLists:    map[string]map[string][]string{},
			formats:       map[string]int{},
		},
		peerExchange: peerExchange{
			peers:        map[string]*peer{},
			keptHosts:    map[int]int{},
			refusedSince: map[string]Time{},
		},
		ownerState: ownerState{
			results:   map[taskKey]result{},
			stopJobs:  map[int]bool{},
			grantSeen: map[taskKey]Time{},
		},
	}
	if n.cfg.Format == 0 {
		n.cfg.Format = wire.Format
	}
	n.partLease.ttl = cfg.Validity
	n.leadLease.ttl = cfg.LeaderTTL
	for _, z := range slices.Sorted(slices.Values(cfg.Zones)) {
		n.zones.Of(z)
	}
	for i := range cfg.Teams {
		n.teams.Of(cfg.Teams[i].Name)
	}
	n.makeParts()
	n.makeLedger()
	n.makeStandby()
	for _, o := range cfg.Waits {
		at := slices.IndexFunc(n.arrivals, func(a *arrivals) bool { return a.class == o.Class })
		if at < 0 {
			n.arrivals = append(n.arrivals, &arrivals{class: o.Class, within: o.Within})
		} else {
			n.arrivals[at].within = min(n.arrivals[at].within, o.Within)
		}
	}
	n.leader.dealtAt = dealTimes(len(cfg.Teams))
	n.leader.reset()
	n.owner.name = "owner"
	return n
}

// Step takes one input and returns its effects.
func (n *Node) Step(now Time, in Input) []Effect {
	n.out = nil
	if gap := now - n.now; n.now > 0 && gap > pauseThreshold {
		n.now = now
		n.resumeAfterPause(gap)
	}
	n.now = max(n.now, now)
	switch x := in.(type) {
	case Tick:
	case Reported:
		n.report(x)
	case UserRequest:
		n.user(x)
	case Forwarded:
		n.forwarded(x)
	case Committed:
		n.resolve(x.ID, x)
	case Directed:
		n.resolve(x.ID, x)
	case GotJob:
		n.resolve(x.ID, x)
	case Leased:
		n.resolve(x.ID, x)
	case Clouded:
		n.resolve(x.ID, x)
	case Changes:
		n.changes(x)
	case Gossiped:
		n.gossiped(x.Msg)
	case HeartbeatReceived:
		n.heartbeat(x.Msg)
	case Disconnected:
		n.disconnected(x.Peer)
	case LogReceived:
		n.logReceived(x)
	case LogAcknowledged:
		n.standby.publisher.Acknowledged(n.now, x.Ack)
	case StatusRequest:
		n.emit(Reply{Req: x.Req, Status: http.StatusOK, Body: n.standbyStatus()})
	}
	n.timers()
	return n.out
}

// timers does whatever is due. It is cheap when nothing is.
func (n *Node) timers() {
	n.renew()
	if !n.loaded {
		return
	}
	n.writeFormat()
	n.claimParts()
	n.standbyTick()
	n.claimLeader()
	n.runChecks()
	n.ownerTick()
	n.answerHeld()
	n.startDirectly()
	if n.now >= n.ownInfoAt {
		// Changes on our machines are told at once, silence now and then.
		n.ownInfoAt = n.now + second
		was := n.ver
		n.ownInfo()
		n.gossip(n.ver != was)
	}
	n.leaderTick()
	n.gossip(false)
	n.keepImages()
	n.forgetHosts()
	n.askRevision()
	n.settlePolls()
	n.expireUsers()
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

func (n *Node) log(level LogLevel, text string, args ...any) {
	n.emit(Log{Level: level, Text: text, Args: args})
}

func (n *Node) id(f func(Result)) uint64 {
	n.nextID++
	n.pending[n.nextID] = f
	return n.nextID
}

func (n *Node) resolve(id uint64, in Result) {
	if f := n.pending[id]; f != nil {
		delete(n.pending, id)
		f(in)
	}
}

func (n *Node) commit(class Class, conds []Cond, writes []Write, f func(Committed)) {
	id := n.id(func(in Result) {
		c := in.(Committed)
		n.storeHeard(c.Outcome)
		if c.Limited && len(writes) > 0 {
			n.budget.noteRefusal(n.now)
		}
		if c.Outcome == TooLarge {
			n.log(LogError, "a transaction is beyond the state service's limits", "writes", len(writes), "conditions", len(conds))
		}
		f(c)
	})
	if class == Bulk {
		n.budget.available -= float64(len(writes))
	}
	n.emit(Commit{ID: id, If: conds, Writes: writes, Class: class})
}

// storeHeard notes whether the state service serves us.
func (n *Node) storeHeard(o Outcome) {
	switch o {
	case OK, Conflict, Missing, BadLease, TooLarge:
		if !n.storeOK {
			// In an outage owners run out of validity and their workers go
			// round in vain. That says nothing about the owners afterwards.
			n.storeSince = n.now
			for _, p := range n.parts {
				p.forgetBounces()
			}
		}
		n.storeOK, n.storeAt = true, n.now
	default:
		if n.now-n.storeAt > 3*time.Second {
			n.storeOK = false
		}
	}
}

// Work counts machines looked at since the start, for tests of how cost grows.
func (n *Node) Work() uint64 { return n.work }

// Ready tells whether user requests can be taken. It stays true through an
// outage, since a removal from the balancer outlasts it.
func (n *Node) Ready() bool { return true }
