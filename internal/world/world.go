// Package world is a stand-in for everything around the controllers: the
// state service, the cloud, the workers, the users and the network between
// them. It runs any number of controller cores in simulated time, drops,
// delays, repeats and reorders what passes between them under a seed, and
// checks the rules of the protocol after every step. Only tests use it.
package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/wire"
)

// Settings of a world, with the defaults of Defaults.
type Settings struct {
	Seed       uint64
	Nodes      []string // the zone of each controller
	Zones      []string
	Teams      []core.Team
	Report     time.Duration
	Lease      time.Duration
	GangWait   time.Duration
	GangPeer   time.Duration
	Cancel     time.Duration
	Boot       time.Duration
	Capacity   int     // machines of each kind in each zone
	WriteRPS   float64 // puts a second that the state service takes; 0: any number
	TxnOps     int
	ValueBytes int
	Idle       time.Duration
	// Limits of the state service that will hold from some moment on; 0: no others.
	NextWriteRPS   float64
	NextTxnOps     int
	NextValueBytes int
	Admission      core.Admission // what owners admit by themselves
	OldFormat      int            // that controllers read at first, until they are replaced; 0: the newest
	EarlyTakeover  bool           // a suspected leader is replaced before its lease ends

	// Where controllers are real processes: how one is started, asked, and how a worker
	// gets an address of its own.
	launch      func(*node)
	ask         func(n *node, in core.Input, reply func(core.Reply))
	serveWorker func(*workerSim) string
}

// Defaults are those of a small deployment.
func Defaults() Settings {
	return Settings{
		Seed: 1, Nodes: []string{"a", "b", "a"}, Zones: []string{"a", "b"},
		Teams: []core.Team{
			{Name: "red", Cards: 4, CardsMax: 8}, {Name: "blue", Cards: 4, CardsMax: 8}, {Name: "wide", CardsMax: 1000}, {Name: "huge", CardsMax: 10000},
			{Name: "vast", CardsMax: 20000}, {Name: "pool", Cards: 24, CardsMax: 32},
		},
		Report: 3 * time.Second, Lease: 30 * time.Second, GangWait: 35 * time.Second,
		GangPeer: 8 * time.Second, Cancel: 55 * time.Second,
		Boot: 10 * time.Second, Capacity: 6, TxnOps: 12, ValueBytes: 8 << 10, Idle: 40 * time.Second,
	}
}

// World is the simulation.
type World struct {
	Settings
	now   time.Duration
	queue events
	seq   int
	rng   *rand.Rand

	nodes   []*node
	store   *store
	cloud   *cloud
	workers map[string]*workerSim
	users   map[string]*userSim
	order   []*userSim      // in the order in which they came
	done    map[string]bool // tasks that have completed, by name

	loss   float64        // share of requests that get lost, answered or not
	late   float64        // share of requests that are carried out much later
	cuts   map[string]int // pairs of ends that can't reach each other
	lossTo time.Duration  // until when loss and late hold
	calm   time.Duration  // when the last trouble ends, as far as is known

	troubles
	accounting *accounting
	takeovers  *takeoverWatch

	copiesTo, copyDelay time.Duration   // until when reports come twice, and how late
	held                map[string]bool // cuts that deliver what they held

	// Broken lists broken rules; a test fails when there are any.
	Broken   []string
	attempts map[string]string // the machine of every attempt of a task

	// Starts counts starts of tasks by job.
	Starts  map[string]int
	bulk    int
	meter   meter
	stashed *wire.Report
	trace   func(string, ...any)
}

type node struct {
	w     *World
	ix    int
	label string
	zone  string
	core  *core.Node
	up    bool
	old   bool // it plays the version before
	life  int
	boot  time.Duration
	drift float64
	wait  map[uint64]func(core.Reply)
	req   uint64

	still   time.Duration // until when it stands still
	backlog []core.Input  // what has come meanwhile
	stuck   []core.Effect // effects that it had decided on when it stopped
	stops   bool          // before the effects of its next step
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push and Pop serve container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// New makes a world whose controllers start at once.
func New(s Settings, trace func(string, ...any)) *World {
	w := newWorld(s, trace)
	w.begin()
	return w
}

// newWorld makes a world with nothing running yet.
func newWorld(s Settings, trace func(string, ...any)) *World {
	w := &World{
		Settings: s, rng: rand.New(rand.NewPCG(s.Seed, 7)),
		workers: map[string]*workerSim{}, users: map[string]*userSim{}, done: map[string]bool{},
		cuts: map[string]int{}, held: map[string]bool{}, Starts: map[string]int{}, attempts: map[string]string{},
		trace: trace,
	}
	w.store = newStore(w)
	w.accounting = newAccounting(w)
	w.cloud = newCloud(w)
	w.takeovers = newTakeoverWatch(w)
	for i, z := range s.Nodes {
		n := &node{w: w, ix: i, label: fmt.Sprintf("n%d", i), zone: z, drift: 1 + 0.0005*float64(i)/float64(len(s.Nodes))}
		n.old = s.OldFormat > 0
		w.nodes = append(w.nodes, n)
	}
	return w
}

// begin starts the controllers and the checks.
func (w *World) begin() {
	for _, n := range w.nodes {
		n.start()
	}
	w.every(time.Second, w.check)
}

func (w *World) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

func (w *World) every(d time.Duration, do func()) {
	w.after(d, func() { do(); w.every(d, do) })
}

// Run plays until the given time, or until a rule is broken.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && len(w.Broken) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, until)
}

func (w *World) broke(rule, format string, a ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%.3fs %s: %s", w.now.Seconds(), rule, fmt.Sprintf(format, a...)))
}

func (w *World) latency() time.Duration {
	d := time.Millisecond + time.Duration(w.rng.IntN(6000))*time.Microsecond
	if w.now < w.slowLinksTo {
		d = time.Duration(float64(d) * w.slowLinks)
	}
	return d
}

// cut says whether two ends can't reach each other now. Ends are controllers
// and workers by name, zones as "zone:a", and "store" and "cloud".
func (w *World) cut(a, za, b, zb string) bool {
	for _, x := range []string{a, "zone:" + za} {
		for _, y := range []string{b, "zone:" + zb} {
			if w.cuts[x+"|"+y] > 0 || w.cuts[y+"|"+x] > 0 {
				return true
			}
		}
	}
	return false
}

func (w *World) holds(a, za, b, zb string) bool {
	for _, x := range []string{a, "zone:" + za} {
		for _, y := range []string{b, "zone:" + zb} {
			if w.held[x+"|"+y] || w.held[y+"|"+x] {
				return true
			}
		}
	}
	return false
}

// Cut separates two ends for a while; with hold, what is sent meanwhile
// arrives afterwards.
func (w *World) Cut(a, b string, d time.Duration, hold bool) {
	w.troubled(d)
	k := a + "|" + b
	w.cuts[k]++
	w.held[k] = hold
	w.after(d, func() {
		if w.cuts[k]--; w.cuts[k] == 0 {
			delete(w.held, k)
		}
	})
}

// meter counts what a day costs, so that a test can bound how the cost grows.
type meter struct {
	since          time.Duration
	reports, bytes int
	refused        int
	work           uint64 // of all controllers when it was set to zero
}

func (w *World) work() uint64 {
	sum := uint64(0)
	for _, n := range w.nodes {
		sum += n.core.Work()
	}
	return sum
}

// batchPuts is as in the real service.
func (w *World) batchPuts() int {
	if w.WriteRPS <= 0 {
		return w.TxnOps
	}
	return max(2, int(1.5*w.WriteRPS/float64(len(w.Nodes))))
}

// troubled notes that there is trouble for a while.
func (w *World) troubled(d time.Duration) { w.calm = max(w.calm, w.now+d) }

func (n *node) start() {
	w := n.w
	n.up, n.boot = true, w.now
	n.life++
	n.still, n.stops, n.stuck, n.backlog = 0, false, nil, nil
	n.wait = map[uint64]func(core.Reply){}
	if w.launch != nil {
		w.store.at[n.label] = -1 // it watches by itself
		w.launch(n)
		return
	}
	cfg := core.Config{
		Self: n.label, Zone: n.zone, Life: fmt.Sprintf("%s-%d", n.label, n.life), Zones: w.Zones, Teams: w.Teams,
		Report: w.Report, Lease: w.Lease, GangWait: w.GangWait,
		Validity: config.Validity(w.Lease, w.Cancel), LeaderTTL: 5 * time.Second, TxnOps: w.TxnOps, ValueBytes: w.ValueBytes,
		BulkTasks: 600,
		ListLag:   4 * time.Second, BatchPuts: w.batchPuts(), CloudRPS: 2, StateRPS: 250, WriteRPS: w.WriteRPS, IdleReturn: w.Idle, Spares: 1, Preempt: true,
		WallMS: func() int64 { return w.now.Milliseconds() },
	}
	least := func(now, next int) int {
		if next > 0 {
			return min(now, next)
		}
		return now
	}
	cfg.Admission, cfg.EarlyTakeover = w.Admission, w.EarlyTakeover
	if n.old {
		cfg.Format = w.OldFormat
	}
	if cfg.Format != 1 { // format 1 knows of no limits to come
		cfg.ValueNow, cfg.ValueBytes = cfg.ValueBytes, least(cfg.ValueBytes, w.NextValueBytes)
		cfg.TxnOps, cfg.NextWriteRPS = least(cfg.TxnOps, w.NextTxnOps), w.NextWriteRPS
	}
	for _, m := range w.nodes {
		cfg.Members = append(cfg.Members, core.Member{Label: m.label, Zone: m.zone})
	}
	n.core = core.New(cfg)
	life := n.life
	w.store.list(n, life)
	var tick func()
	tick = func() {
		if n.life != life || !n.up {
			return
		}
		n.step(core.Tick{})
		w.after(50*time.Millisecond, tick)
	}
	w.after(time.Duration(n.ix)*7*time.Millisecond, tick)
}

// Crash ends a controller; it comes back after d.
func (w *World) Crash(ix int, d time.Duration) {
	n := w.nodes[ix]
	if !n.up {
		return
	}
	w.troubled(d)
	w.takeovers.failing(ix)
	n.up = false
	n.wait = nil
	if w.launch == nil {
		w.disconnect(n)
	}
	w.after(d, n.start)
}

func (n *node) step(in core.Input) {
	if !n.up {
		return
	}
	if n.w.now < n.still && !n.stops {
		if _, tick := in.(core.Tick); !tick {
			n.backlog = append(n.backlog, in)
		}
		return
	}
	local := time.Duration(float64(n.w.now-n.boot) * n.drift)
	out := n.core.Step(local, in)
	if n.stops {
		n.stops, n.stuck = false, out
		return
	}
	for _, e := range out {
		n.perform(e)
	}
}

// Freeze makes a controller stand still while its clocks run on: between
// deciding and doing, at every second time.
func (w *World) Freeze(ix int, d time.Duration) {
	n := w.nodes[ix]
	if !n.up {
		return
	}
	w.troubled(d)
	w.takeovers.failing(ix)
	n.still, n.stops = w.now+d, w.rng.IntN(2) == 0
	life := n.life
	w.after(d, func() {
		if n.life != life || !n.up || w.now < n.still {
			return
		}
		stuck, backlog := n.stuck, n.backlog
		n.stuck, n.backlog, n.stops = nil, nil, false
		for _, e := range stuck {
			if call, is := e.(core.Cloud); is && (call.Hire != nil || call.Return != nil) && d > call.Within {
				n.step(core.Clouded{ID: call.ID, Outcome: core.Refused}) // as the adapter does
				continue
			}
			n.perform(e)
		}
		for _, in := range backlog {
			n.step(in)
		}
	})
}

// deliver gives an input to the same life of the controller after a delay.
func (n *node) deliver(d time.Duration, in core.Input) {
	life := n.life
	n.w.after(d, func() {
		if n.life == life {
			n.step(in)
		}
	})
}

// fate decides what becomes of a request: whether and when it is carried
// out, and whether the answer arrives.
func (w *World) fate() (carried time.Duration, runs, answered bool) {
	if w.now < w.lossTo {
		x := w.rng.Float64()
		switch {
		case x < w.late:
			return time.Duration(w.rng.IntN(60000)) * time.Millisecond, true, false
		case x < w.late+w.loss/2:
			return 0, false, false
		case x < w.late+w.loss:
			return w.latency(), true, false
		}
	}
	return w.latency(), true, true
}

// patience is how long a controller waits for the state service or the cloud.
const patience = 1500 * time.Millisecond

// call runs a request of a controller against a service.
func (n *node) call(fate func() (time.Duration, bool, bool), run func() core.Input, lost core.Input, refused func() core.Input) {
	w := n.w
	if r := refused(); r != nil {
		n.deliver(w.latency(), r)
		return
	}
	d, runs, answered := fate()
	answered = answered && d < patience
	life := n.life
	if runs {
		w.after(d, func() {
			in := run()
			if answered && n.life == life {
				n.deliver(w.latency(), in)
			}
		})
	}
	if !answered {
		n.deliver(patience, lost)
	}
}

// perform carries out an effect of the core.
func (n *node) perform(e core.Effect) {
	w := n.w
	switch x := e.(type) {
	case core.Commit:
		n.commit(x)
	case core.Read:
		n.read(x)
	case core.Lease:
		n.call(w.storeFate, func() core.Input {
			out, id := w.store.lease(x.Lease, x.TTL)
			return core.Leased{ID: x.ID, Outcome: out, Lease: id}
		}, core.Leased{ID: x.ID, Outcome: core.Unknown}, n.unlessRefused(core.Leased{ID: x.ID, Outcome: core.Refused}))
	case core.Cloud:
		n.callCloud(x)
	case core.Direct:
		n.order(x)
	case core.Send:
		n.send(x)
	case core.Heartbeat:
		n.heartbeat(x)
	case core.SendLog:
		n.sendLog(x)
	case core.Forward:
		n.forward(x)
	case core.Log:
		w.trace("%8.3f %s %s %v", w.now.Seconds(), n.label, x.Text, x.Args)
	case core.Reply:
		if f := n.wait[x.Req]; f != nil {
			delete(n.wait, x.Req)
			f(x)
		}
	}
}

// unlessRefused gives the answer to a request that the state service refuses at once.
func (n *node) unlessRefused(refusal core.Input) func() core.Input {
	return func() core.Input {
		if n.w.store.refuses(n) {
			return refusal
		}
		return nil
	}
}

// commit sends a transaction to the state service.
func (n *node) commit(x core.Commit) {
	w := n.w
	puts := encodeWrites(x.Writes)
	n.call(w.writeFate(len(puts)), func() core.Input {
		refused := w.meter.refused
		out, rev, failed := w.store.commit(n, x.If, puts)
		return core.Committed{ID: x.ID, Outcome: out, Rev: rev, Failed: failed, Limited: w.meter.refused > refused}
	}, core.Committed{ID: x.ID, Outcome: core.Unknown}, n.unlessRefused(core.Committed{ID: x.ID, Outcome: core.Refused}))
}

// read fetches the record of a job.
func (n *node) read(x core.Read) {
	w := n.w
	n.call(w.storeFate, func() core.Input {
		r := core.GotJob{ID: x.ID, Outcome: core.Missing}
		if k := w.store.keys[wire.JobKey(x.Ref)]; k != nil {
			r.Outcome, r.Rev, r.Job = core.OK, k.rev, new(wire.Job)
			must(wire.Decode(k.raw, r.Job))
		}
		return r
	}, core.GotJob{ID: x.ID, Outcome: core.Unknown}, n.unlessRefused(core.GotJob{ID: x.ID, Outcome: core.Refused}))
}

// callCloud sends a call to the cloud.
func (n *node) callCloud(x core.Cloud) {
	w := n.w
	if x.Hire != nil || x.Return != nil {
		if w.staleLeader(n) {
			w.broke("stale_leader", "%s deals with the cloud", n.label)
		}
		w.takeovers.calls(n)
	}
	n.call(w.fate, func() core.Input { return w.cloud.call(x) }, core.Clouded{ID: x.ID, Outcome: core.Unknown}, func() core.Input {
		if w.cut(n.label, n.zone, "cloud", "") {
			return core.Clouded{ID: x.ID, Outcome: core.Unknown}
		}
		if w.cloud.outage {
			return core.Clouded{ID: x.ID, Outcome: core.Refused}
		}
		return nil
	})
}

// send carries a message to a peer.
func (n *node) send(x core.Send) {
	w := n.w
	for _, m := range w.nodes {
		if m.label != x.To || w.cut(n.label, n.zone, m.label, m.zone) {
			continue
		}
		if w.now < w.lossTo && w.rng.Float64() < w.loss {
			continue
		}
		msg := *x.Msg
		if raw, err := wire.Encode(x.Msg); err == nil {
			w.meter.bytes += len(raw)
		}
		m.deliver(w.latency(), core.Gossiped{Msg: &msg})
	}
}

// order carries orders to a worker's own address. What is held back or comes
// late may be obeyed long after the sender has given up, and twice.
func (n *node) order(x core.Direct) {
	w := n.w
	var k *workerSim
	for _, y := range w.workers {
		if y.m.Addr == x.Addr {
			k = y
		}
	}
	says := func(d time.Duration, o core.Outcome) { n.deliver(d, core.Directed{ID: x.ID, Outcome: o}) }
	if k == nil || k.off || w.now < k.deafTo {
		says(700*time.Millisecond, core.Refused)
		return
	}
	if w.cut(k.m.Name, k.m.Zone, n.label, n.zone) {
		if !w.holds(k.m.Name, k.m.Zone, n.label, n.zone) || w.rng.IntN(2) == 0 {
			says(700*time.Millisecond, core.Refused)
			return
		}
		// The connection stood already when the cut began.
		says(3*time.Second, core.Unknown)
		k.take(x.Orders, func() bool { return w.cut(k.m.Name, k.m.Zone, n.label, n.zone) }, func(core.Outcome) {})
		return
	}
	d, runs, answered := w.fate()
	life, told := n.life, false
	tell := func(o core.Outcome) {
		if answered && !told && n.life == life {
			told = true
			says(w.latency(), o)
		}
	}
	if runs {
		w.after(d, func() { k.take(x.Orders, nil, tell) })
	}
	if w.now < w.copiesTo {
		w.after(time.Second+time.Duration(w.rng.Int64N(int64(w.copyDelay))), func() { k.take(x.Orders, nil, func(core.Outcome) {}) })
	}
	w.after(3*time.Second, func() {
		if !told && n.life == life {
			told = true
			says(0, core.Unknown)
		}
	})
}

func (n *node) forward(x core.Forward) {
	w := n.w
	for _, m := range w.nodes {
		if m.label != x.To {
			continue
		}
		if !m.up || w.cut(n.label, n.zone, m.label, m.zone) {
			break
		}
		life := n.life
		m.ask(func(req uint64) core.Input {
			return core.UserRequest{Req: req, Kind: x.Call.Kind, Ref: x.Call.Ref, Body: x.Call.Body, Forwarded: true}
		}, func(r core.Reply) {
			b, err := wire.Encode(r.Body)
			must(err)
			if n.life == life {
				n.deliver(w.latency(), core.Forwarded{Req: x.Req, Answer: wire.UserAnswer{Status: r.Status, Body: b}})
			}
		})
		return
	}
	n.deliver(time.Second, core.Forwarded{Req: x.Req})
}

// ask gives a request to a controller; reply is called at most once.
func (n *node) ask(input func(req uint64) core.Input, reply func(core.Reply)) {
	if n.w.Settings.ask != nil {
		n.w.Settings.ask(n, input(0), reply)
		return
	}
	life := n.life
	n.w.after(n.w.latency(), func() {
		if n.life != life || !n.up {
			return
		}
		n.req++
		n.wait[n.req] = reply
		n.step(input(n.req))
	})
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
