// Package core is the state machine of a controller. It has no input or
// output of its own: Step takes an input and the steady time, and returns what
// is to be sent, written and answered. The same inputs always give the same
// effects.
package core

import (
	"slices"
	"strings"
	"time"

	"micaport/internal/wire"
)

// Time is the steady clock, counted from the start of the process.
type Time = time.Duration

// Member is a controller of the deployment.
type Member struct {
	Label string
	Zone  string
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name               string
	Cores, Cards       float64
	CoresMax, CardsMax float64
}

// Config is what the core needs of the settings.
type Config struct {
	Self    string
	Zone    string
	Life    string // tells this process from earlier ones of the same name
	Members []Member
	Zones   []string
	Teams   []Team

	Report, Lease, GangWait Time
	Validity                Time // how long an owner may act on a renewal
	LeaderTTL               Time
	TxnOps, ValueBytes      int // that hold at all times, also once the service's next limits do
	ValueNow                int // that holds until then; 0: no other
	Format                  int // that we read and write; 0: the newest
	BatchPuts               int // records that one of our transactions changes at most
	BulkTasks               int // active tasks of an array with more tasks than a record can hold one by one
	ListLag                 Time
	CloudRPS                float64
	StateRPS, WriteRPS      float64 // 0: no limit
	NextWriteRPS            float64 // that may hold from some moment on; 0: no other

	Waits       []Objective // classes that are to start soon after they come
	IdleReturn  Time
	Spares      int
	MaxMachines int
	Preempt     bool

	WallMS func() int64 // time of day, for ordering queues only
}

// Outcome of a request to the state service or the cloud.
type Outcome int

// Outcomes. Only OK, Conflict and Missing say for certain what happened;
// Refused says that nothing did.
const (
	OK Outcome = iota
	Conflict
	Missing
	Refused
	Unknown
	BadLease
	Full     // the cloud has no capacity
	TooLarge // a value or a transaction beyond the limits: not carried out, ever
)

// Cond demands that a key is at a revision; 0 means absent.
type Cond struct {
	Key string
	Rev uint64
}

// Write puts or drops a key. Value is a record of package wire.
type Write struct {
	Key   string
	Value any // nil drops the key
	Lease uint64
}

// Class orders requests when the budget is short.
type Class int

// Classes, most pressing first.
const (
	Vital Class = iota // renewals and claims
	User               // submissions, withdrawals, polls
	Bulk               // everything else
)

// Effects.
type (
	// Commit is a transaction on the state service.
	Commit struct {
		ID     uint64
		If     []Cond
		Writes []Write
		Class  Class
	}
	// Read fetches a job's record.
	Read struct {
		ID  uint64
		Ref string
	}
	// Lease creates (Lease 0) or extends a lease.
	Lease struct {
		ID    uint64
		Lease uint64
		TTL   Time
	}
	// Cloud is a call to the cloud; exactly one of the fields says which.
	Cloud struct {
		ID      uint64
		Flavors bool
		List    bool
		Hire    *wire.Hire
		Return  []string
		Within  Time // how long after this a hire or return may be sent
	}
	// Direct sends orders to a worker's own address; Directed says what became
	// of them.
	Direct struct {
		ID     uint64
		Addr   string
		Orders wire.Orders
	}
	// Send is a message to a peer.
	Send struct {
		To  string
		Msg *wire.Gossip
	}
	// Forward hands a user's request to a peer; the answer comes as Forwarded.
	Forward struct {
		Req  uint64
		To   string
		Call wire.UserCall
	}
	// Reply answers a request of a user or a worker.
	Reply struct {
		Req    uint64
		Status int
		Body   any
		RetryS int
	}
	// Log is a line for the log.
	Log struct {
		Level int // 0 debug, 1 info, 2 error
		Text  string
		Args  []any
	}
)

// Inputs.
type (
	// Tick lets timers fire.
	Tick struct{}
	// Reported is a worker's report.
	Reported struct {
		Req    uint64
		Report *wire.Report
	}
	// UserRequest is a user's request at the API, or one handed on by a peer.
	UserRequest struct {
		Req       uint64
		Kind      string // submit, poll, withdraw
		Ref       string
		Body      []byte
		Forwarded bool
	}
	// Forwarded is a peer's answer to Forward; Status 0 means none came.
	Forwarded struct {
		Req    uint64
		Answer wire.UserAnswer
	}
	// Committed is the result of Commit.
	Committed struct {
		ID      uint64
		Outcome Outcome
		Rev     uint64
		Failed  []string // after Conflict: the keys that were not as demanded
		Limited bool     // the service said that there were too many puts
	}
	// Directed is the result of Direct: OK when the worker has carried the
	// orders out, Conflict when it never will, as its session or token is
	// another, Refused when they were not sent.
	Directed struct {
		ID      uint64
		Outcome Outcome
	}
	// GotJob is the result of Read.
	GotJob struct {
		ID      uint64
		Outcome Outcome
		Rev     uint64
		Job     *wire.Job
	}
	// Leased is the result of Lease.
	Leased struct {
		ID      uint64
		Outcome Outcome
		Lease   uint64
	}
	// Changes are events of the watch, in order, up to revision Rev. Reset
	// says that they are a full listing: everything else is absent.
	Changes struct {
		Reset  bool
		Rev    uint64
		Events []Event
	}
	// Clouded is the result of Cloud.
	Clouded struct {
		ID       uint64
		Outcome  Outcome
		Flavors  []wire.Flavor
		Machines []wire.Machine
		Hosts    []string
	}
	// Gossiped is a message from a peer.
	Gossiped struct{ Msg *wire.Gossip }
)

// Event is a change of a key; Value is nil when it was dropped.
type Event struct {
	Key   string
	Rev   uint64
	Value any
}

// Node is the state machine of one controller.
type Node struct {
	cfg Config
	now Time
	out []any

	nextID  uint64
	pending map[uint64]func(any)

	// Copy of the records.
	loaded   bool
	rev      uint64
	jobs     []*job
	refs     wire.Interner
	finished map[[2]int]*wire.Job
	live     []int // jobs that are unfinished or still have tasks on machines
	gangs    map[string]*gang
	continuations     map[string]map[int]wire.Actives // active tasks in further keys, by job
	// Parts of lists of needs, by job and key, while the job's record is not taken in.
	needsLists map[string]map[string][]string
	derivedWithdrawals     []int          // jobs below a withdrawn one, not yet recorded as such
	formats      map[string]int // the format that each controller reads
	agreed     int            // the newest format that all controllers read
	formatAt   Time
	shrunk     bool // no record is larger than the limits to come
	types      []wire.Flavor
	rigsAt     Time
	rigRev     uint64

	// Names are mapped to indices where they come in.
	zones, teams, rigs wire.Interner
	flavors            []*wire.Flavor // by index of their name; nil: not on offer

	parts     []*part
	zoneParts [][2]int // first part and number of parts of each zone
	hosts     []*host
	hostIx    wire.Interner
	images    wire.Interner
	peers     map[string]*peer

	storeOK     bool
	storeSince  Time // since when it has served us
	storeAt     Time // last proof that the state service serves us
	wokeAt      Time // when we last found out that we had stood still
	partLease   lease
	leadLease   lease
	checkAt     Time
	checks      []check
	provenAt    Time // when the last check that has settled was sent
	gossipAt    Time
	gossipLast  Time
	ver         uint64      // of our view of our own machines
	told        []change    // in order of version
	strayed     []int       // machines of others that came here lately
	kept        map[int]int // machines that the leader keeps for a job
	keptAt      Time
	retiring    []int // machines that the leader wants emptied
	tidyAt      Time
	ownInfoAt   Time
	heldAt      Time
	usersAt     Time
	budget        writeBudget
	arrivals    []*arrivals
	runTimes    runTimes
	countedFrom Time   // since when arrivals are counted; 0: not yet
	work        uint64 // machines looked at so far
	roomAt      Time
	imagesAt    Time
	imagesKept  int // entries in the record of images as last written

	held      []heldReport
	unstarted []int // machines of ours with a task that they have not shown
	owner     batch
	ownerAt   Time
	results   map[taskKey]result // what became of tasks, not yet in their records
	stopJobs  map[int]bool       // gangs to be stopped in good order
	grantSeen map[taskKey]Time

	refusedSince map[string]Time

	leader   leaderState
	leadAt   Time
	cloudBad Time // since when the cloud has not answered; 0: it does
	resignAt Time
	ledUnder uint64 // the lease of our claim of leadership
	resigned uint64 // the claim of leadership that we have given up
	cutSince Time   // since when we lead cut off; 0: we don't
	users    userState
}

type peer struct {
	at      Time
	msg     *wire.Gossip
	have    uint64 // how far we have taken in its changes
	byStore bool   // heard through the state service only
}

// lease is one lease on the state service.
type lease struct {
	id      uint64
	ttl     Time
	sent    Time // when the last successful renewal was sent
	next    Time
	waiting bool
}

// check is a compare-only commit that proves what we held when it was sent,
// once our copy of the records has reached its revision.
type check struct {
	sent  Time
	rev   uint64
	parts map[int]uint64
}

// New makes a node. Its parts follow from the settings alone.
func New(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		pending: map[uint64]func(any){}, gangs: map[string]*gang{}, continuations: map[string]map[int]wire.Actives{}, needsLists: map[string]map[string][]string{}, formats: map[string]int{}, peers: map[string]*peer{},
		results: map[taskKey]result{}, finished: map[[2]int]*wire.Job{}, kept: map[int]int{}, stopJobs: map[int]bool{}, grantSeen: map[taskKey]Time{},
		refusedSince: map[string]Time{},
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
	for _, o := range cfg.Waits {
		at := slices.IndexFunc(n.arrivals, func(a *arrivals) bool { return a.class == o.Class })
		if at < 0 {
			n.arrivals = append(n.arrivals, &arrivals{class: o.Class, within: o.Within})
		} else {
			n.arrivals[at].within = min(n.arrivals[at].within, o.Within)
		}
	}
	n.leader.reset()
	n.owner.name = "owner"
	return n
}

// Step takes one input and returns its effects.
func (n *Node) Step(now Time, in any) []any {
	n.out = nil
	if gap := now - n.now; n.now > 0 && gap > standstill {
		n.now = now
		n.woke(gap)
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

func (n *Node) emit(e any) { n.out = append(n.out, e) }

func (n *Node) log(level int, text string, args ...any) {
	n.emit(Log{Level: level, Text: text, Args: args})
}

func (n *Node) id(f func(any)) uint64 {
	n.nextID++
	n.pending[n.nextID] = f
	return n.nextID
}

func (n *Node) resolve(id uint64, in any) {
	if f := n.pending[id]; f != nil {
		delete(n.pending, id)
		f(in)
	}
}

func (n *Node) commit(class Class, conds []Cond, writes []Write, f func(Committed)) {
	id := n.id(func(in any) {
		c := in.(Committed)
		n.storeHeard(c.Outcome)
		if c.Limited && len(writes) > 0 {
			n.budget.noteRefusal(n.now)
		}
		if c.Outcome == TooLarge {
			n.log(2, "a transaction is beyond the state service's limits", "writes", len(writes), "conditions", len(conds))
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

// proofPause is how often an owner renews and proves what it holds. The older
// the last proof when it is cut off, the sooner its workers lose their tasks.
// All controllers together may spend a tenth of the requests on it.
func (n *Node) proofPause() Time {
	if n.cfg.StateRPS <= 0 {
		return time.Second
	}
	each := Time(float64(2*len(n.cfg.Members)) / (n.cfg.StateRPS / 10) * float64(time.Second))
	return max(time.Second, min(each, 3*time.Second))
}

// renew keeps both leases alive and makes new ones when they have ended.
func (n *Node) renew() {
	for _, l := range []*lease{&n.partLease, &n.leadLease} {
		if l.waiting || n.now < l.next {
			continue
		}
		if l == &n.leadLease && n.loaded && !n.leads() && n.leader.rec != nil && n.leader.rec.Node != n.cfg.Self {
			// While another leads there is nothing to claim; requests are
			// scarce. By the time it is needed the old one may have ended.
			if n.now-l.sent > l.ttl/2 {
				l.id = 0
			}
			continue
		}
		l.waiting = true
		sent, was := n.now, l.id
		id := n.id(func(in any) {
			r := in.(Leased)
			n.storeHeard(r.Outcome)
			l.waiting = false
			l.next = n.now + 500*time.Millisecond
			switch r.Outcome {
			case OK:
				if was == 0 {
					l.id = r.Lease
				}
				l.sent = sent
				l.next = sent + min(l.ttl/4, n.proofPause())
			case Missing:
				l.id, l.next = 0, n.now
			}
		})
		n.emit(Lease{ID: id, Lease: was, TTL: l.ttl})
	}
}

// changes takes events of the watch into our copy of the records.
func (n *Node) changes(c Changes) {
	if c.Reset {
		seen := map[string]bool{}
		for _, e := range c.Events {
			seen[e.Key] = true
		}
		for _, j := range n.jobs {
			if j.rec != nil && !seen[wire.JobKey(j.ref)] {
				n.putJob(j.ref, nil, c.Rev)
			}
		}
		for _, p := range n.parts {
			if p.rec != nil && !seen[wire.PartKey(p.name)] {
				n.putPart(p, nil, c.Rev)
			}
		}
		for k := range n.gangs {
			if !seen[k] {
				delete(n.gangs, k)
			}
		}
		if !seen[wire.LeaderKey] {
			n.putLeader(nil, c.Rev)
		}
	}
	if c.Reset {
		clear(n.continuations) // the listing holds all there are
	}
	n.changeAll(c.Events)
	if c.Reset {
		// What happened before is not known: any part may have been taken over
		// from an owner that lives.
		for _, p := range n.parts {
			p.until = n.now + n.cfg.Validity
		}
	}
	if !c.Reset {
		n.countWrites(len(c.Events))
	}
	n.loaded = n.loaded || c.Reset
	n.rev = max(n.rev, c.Rev)
	n.leader.dirty = true
	n.settleChecks()
	n.heldAt = 0
	n.owner.settle(n)
	n.leader.batch.settle(n)
}

// changeAll takes events in. Further active tasks change together with their job's
// record; what several transactions did to one is taken in as it stands in the end.
func (n *Node) changeAll(events []Event) {
	var last map[string]int
	for i, e := range events {
		if needs, is := e.Value.(*wire.Needs); is {
			n.putNeeds(e.Key, needs) // in a listing it comes after the record
		}
		if !strings.HasPrefix(e.Key, wire.ContinuationPrefix) {
			continue
		}
		m, _ := e.Value.(*wire.Continuation)
		n.putContinuation(e.Key, m)
		if last == nil {
			last = map[string]int{}
			for k, e := range events {
				last[e.Key] = k
			}
		}
		last[e.Key] = i
	}
	for i, e := range events {
		if last == nil || last[e.Key] == i || !strings.HasPrefix(e.Key, wire.JobPrefix) {
			n.change(e)
		}
	}
}

func (n *Node) change(e Event) {
	switch v := e.Value.(type) {
	case *wire.SupportedFormat:
		n.putFormat(e.Key[len(wire.FormatPrefix):], v)
	case *wire.Job:
		ref := e.Key[len(wire.JobPrefix):]
		n.putJob(ref, v, e.Rev)
		delete(n.needsLists, ref)
	case *wire.Part:
		if p := n.partNamed(e.Key); p != nil {
			n.putPart(p, v, e.Rev)
		}
	case *wire.Leader:
		n.putLeader(v, e.Rev)
	case *wire.Gang:
		n.putGang(e.Key, v, e.Rev)
	case *wire.Gossip:
		if n.loaded { // a listing's may be of long ago
			n.gossipFromStore(v)
		}
	case *wire.Images:
		n.takeImages(v)
	case *wire.Types:
		if e.Rev >= n.rigRev {
			n.rigRev = e.Rev
			if n.types == nil {
				n.takeTypes(v.Rigs)
			}
		}
	case nil:
		switch {
		case e.Key == wire.LeaderKey:
			n.putLeader(nil, e.Rev)
		case len(e.Key) > len(wire.PartPrefix) && e.Key[:len(wire.PartPrefix)] == wire.PartPrefix:
			if p := n.partNamed(e.Key); p != nil {
				n.putPart(p, nil, e.Rev)
			}
		case len(e.Key) > len(wire.GangPrefix) && e.Key[:len(wire.GangPrefix)] == wire.GangPrefix:
			delete(n.gangs, e.Key)
		}
	}
}

// runChecks proves every couple of seconds that we still hold what we act on.
func (n *Node) runChecks() {
	if n.now < n.checkAt {
		return
	}
	n.checkAt = n.now + min(n.cfg.Validity/8, n.proofPause())
	var conds []Cond
	held := map[int]uint64{}
	for i, p := range n.parts {
		if n.holds(p) {
			conds = append(conds, Cond{wire.PartKey(p.name), p.rev})
			held[i] = p.rev
		}
	}
	if len(conds) == 0 {
		return
	}
	// A transaction takes four conditions for each change that it could make.
	sent, most := n.now, 4*n.cfg.TxnOps
	for _, some := range slices.Collect(slices.Chunk(conds, max(1, most))) {
		parts := map[int]uint64{}
		for i, p := range n.parts {
			if slices.ContainsFunc(some, func(c Cond) bool { return c.Key == wire.PartKey(p.name) }) {
				parts[i] = held[i]
			}
		}
		n.commit(Vital, some, nil, func(c Committed) {
			if c.Outcome == OK && sent >= n.wokeAt {
				n.checks = append(n.checks, check{sent: sent, rev: c.Rev, parts: parts})
				n.settleChecks()
			}
		})
	}
}

// settleChecks lets proofs count whose revision our copy has reached. Without
// this wait an owner whose watch hangs could go on keeping tasks alive whose
// withdrawal it has not seen.
func (n *Node) settleChecks() {
	n.checks = slices.DeleteFunc(n.checks, func(c check) bool {
		if c.rev > n.rev {
			return false
		}
		n.provenAt = max(n.provenAt, c.sent)
		for i, term := range c.parts {
			if p := n.parts[i]; p.rev == term {
				if !n.valid(p) {
					p.validSince = n.now
				}
				p.base = max(p.base, min(c.sent, n.partLease.sent))
				p.proven = true
			}
		}
		return true
	})
}

// Work counts machines looked at since the start, for tests of how cost grows.
func (n *Node) Work() uint64 { return n.work }

// Ready tells whether user requests can be taken. It stays true through an
// outage, since a removal from the balancer outlasts it.
func (n *Node) Ready() bool { return true }
