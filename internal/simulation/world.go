// Package world is a simulated for everything around the controllers: the
// state service, the cloud, the workers, the users and the network between
// them. It runs any number of controller cores in simulated time, drops,
// delays, repeats and reorders what passes between them under a seed, and
// checks the rules of the protocol after every step. Only tests use it.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

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
			{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "blue", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "wide", MaxGPUs: 1000}, {Name: "huge", MaxGPUs: 10000},
			{Name: "vast", MaxGPUs: 20000}, {Name: "pool", GuaranteedGPUs: 24, MaxGPUs: 32},
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
	stashed *wire.WorkerHeartbeat
	trace   func(string, ...any)
	observe effectObserver
}

// effectObserver is given the effects of one step of a controller; nil observes nothing.
type effectObserver func(now time.Duration, controller string, effects []core.Effect)

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
