package simulation

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// workerSim is a worker as the protocol describes it.
type workerSim struct {
	w        *World
	m        *machine
	off      bool
	hung     bool
	sick     bool
	session  uint64
	seq      uint64
	token    uint64
	tasks    map[string]*taskSim
	images   map[string]bool
	node     int
	busy     bool
	tickets  int
	answered time.Duration // when the last answered report was sent
	recallAt time.Duration
	urgent   bool
	deafTo   time.Duration // until when no answer or command reaches it
	muteTo   time.Duration // until when it reaches no controller
	lastSent time.Duration
	drift    float64
}

type taskSim struct {
	u       *userSim
	k       *workerSim
	ref     string
	task    int
	attempt uint64
	state   string
	cause   string
	saved   bool
	since   time.Duration
	gen     int
	lostAt  time.Duration // a gang task first saw a peer missing
}

func (w *World) bootWorker(m *machine) {
	k := &workerSim{w: w, m: m, session: 1, tasks: map[string]*taskSim{}, images: map[string]bool{},
		node: w.rng.IntN(len(w.nodes)), answered: w.now, drift: 1 - 0.0005*w.rng.Float64()}
	w.workers[m.Name] = k
	if w.serveWorker != nil {
		m.Addr = w.serveWorker(k)
	}
	k.report()
	k.loop()
}

func (k *workerSim) loop() {
	k.w.after(500*time.Millisecond, func() {
		if k.off {
			return
		}
		k.lease()
		period := time.Duration(float64(k.w.Report) * (0.75 + 0.5*k.w.rng.Float64()))
		if !k.hung && !k.busy && (k.urgent || k.w.now-k.lastSent >= period) {
			k.report()
		}
		k.loop()
	})
}

// lease kills everything when the last answered report is too old.
func (k *workerSim) lease() {
	if time.Duration(float64(k.w.now-k.answered)*k.drift) > k.w.Lease {
		k.forget()
		k.session++
		k.answered = k.w.now
		k.busy = false
		k.tickets++
	}
}

// forget loses all tasks.
func (k *workerSim) forget() {
	for _, name := range sortedKeys(k.tasks) {
		k.remove(name)
	}
}

func (k *workerSim) add(key string, t *taskSim) {
	k.tasks[key] = t
	if t.u != nil {
		t.u.on = append(t.u.on, t)
	}
}

func (k *workerSim) remove(key string) {
	t := k.tasks[key]
	delete(k.tasks, key)
	if t.u != nil {
		t.u.on = slices.DeleteFunc(t.u.on, func(x *taskSim) bool { return x == t })
	}
}

func (k *workerSim) snapshot() *wire.WorkerHeartbeat {
	k.seq++
	r := &wire.WorkerHeartbeat{Machine: k.m.Name, Addr: k.m.Addr, MachineType: k.m.MachineType, Zone: k.m.Zone, Spot: k.m.Spot,
		Epoch: k.session, Sequence: k.seq, Token: k.token}
	if k.recallAt > 0 {
		left := (k.recallAt - k.w.now).Seconds()
		r.ReclaimS = &left
	}
	for _, name := range sortedKeys(k.tasks) {
		t := k.tasks[name]
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(t.ref, t.task), Attempt: t.attempt, State: t.state, ExitCause: t.cause, CheckpointSaved: t.saved})
	}
	return r
}

// reportPatience is how long a worker waits for an answer.
const reportPatience = 4 * time.Second

// pendingReport is a report that waits for its answer.
type pendingReport struct {
	k       *workerSim
	to      *node
	message *wire.WorkerHeartbeat
	ticket  int
	session uint64
	sent    time.Duration
}

// report sends a report to the controller that the worker keeps to.
func (k *workerSim) report() {
	w := k.w
	k.busy, k.urgent, k.lastSent = true, false, w.now
	w.meter.reports++
	k.tickets++
	r := &pendingReport{k: k, ticket: k.tickets, session: k.session, sent: w.now, message: k.snapshot(), to: w.nodes[k.node]}
	w.after(reportPatience, func() {
		if k.tickets == r.ticket && k.busy {
			r.tryNext()
		}
	})
	switch {
	case w.now < k.muteTo:
	case r.isCut():
		if w.holds(k.m.Name, k.m.Zone, r.to.label, r.to.zone) {
			w.after(time.Second, r.deliverAfterCut)
		}
	case w.now < w.lossTo && w.rng.Float64() < w.loss:
		// Lost, or held back and delivered much later, to a controller that
		// may have taken over meanwhile.
		w.after(time.Duration(w.rng.IntN(60000))*time.Millisecond, func() { w.someNode().hearCopy(r.message) })
	default:
		w.copyLater(r.message)
		if w.now < w.copiesTo {
			// The network delivers it a second time, to whom it will.
			m := w.someNode()
			w.after(time.Second+time.Duration(w.rng.Int64N(int64(w.copyDelay))), func() { m.hearCopy(r.message) })
		}
		r.to.ask(func(req uint64) core.Input { return core.WorkerReported{RequestID: req, Heartbeat: r.message} }, r.answered)
	}
}

// someNode is a controller chosen at random.
func (w *World) someNode() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

func (r *pendingReport) isCut() bool {
	return r.k.w.cut(r.k.m.Name, r.k.m.Zone, r.to.label, r.to.zone)
}

// deliverAfterCut delivers the report once the cut is over; the answer comes far too late.
func (r *pendingReport) deliverAfterCut() {
	if r.isCut() {
		r.k.w.after(time.Second, r.deliverAfterCut)
		return
	}
	r.to.hearCopy(r.message)
}

// turnTo has the worker report to a controller after a while.
func (r *pendingReport) turnTo(wait time.Duration, node int) {
	k := r.k
	k.node = node
	k.w.after(wait, func() {
		if k.tickets == r.ticket && !k.off {
			k.busy, k.urgent = false, true
		}
	})
}

// tryNext has the worker try the next controller.
func (r *pendingReport) tryNext() { r.turnTo(time.Second, (r.k.node+1)%len(r.k.w.nodes)) }

// answered carries the answer back, unless it is lost.
func (r *pendingReport) answered(a core.Reply) {
	w := r.k.w
	if w.now < r.k.deafTo || r.isCut() || w.now < w.lossTo && w.rng.Float64() < w.loss {
		return
	}
	w.after(w.latency(), func() { r.hear(a) })
}

// hear obeys an answer that has arrived.
func (r *pendingReport) hear(a core.Reply) {
	k, w := r.k, r.k.w
	if k.off || k.hung || k.tickets != r.ticket || !k.busy || k.session != r.session {
		return
	}
	switch a.Status {
	case 200:
		k.busy = false
		k.obey(a.Body.(wire.HeartbeatReply), r.sent)
	case 421:
		owner := a.Body.(wire.Redirect).Owner
		for i, m := range w.nodes {
			if m.label == owner && i != k.node {
				r.turnTo(time.Duration(w.rng.IntN(500))*time.Millisecond, i)
				return
			}
		}
		r.tryNext()
	default:
		r.tryNext()
	}
}

// obey carries out an accepted answer to a report sent at a time, which renews the lease.
func (k *workerSim) obey(answer wire.HeartbeatReply, sent time.Duration) {
	if answer.Token < k.token {
		return
	}
	if answer.Token > k.token {
		k.token = answer.Token
		k.urgent = true
	}
	k.answered = sent
	for _, o := range answer.Commands {
		k.execute(o)
	}
}

// take obeys orders that came to the worker's own address, once it runs and
// nothing holds them back any more.
func (k *workerSim) take(o wire.CommandBatch, held func() bool, done func(core.Outcome)) {
	if k.off {
		return
	}
	if k.hung || held != nil && held() {
		k.w.after(300*time.Millisecond, func() { k.take(o, held, done) })
		return
	}
	k.lease()
	if o.Token < k.token || o.Epoch != k.session {
		done(core.Conflict)
		return
	}
	k.token = o.Token
	for _, x := range o.Commands {
		k.execute(x)
	}
	k.seq++ // its answer shows what it does, as a report would
	done(core.OK)
}

// execute carries out one order.
func (k *workerSim) execute(o wire.Command) {
	ref, task, err := wire.SplitTaskName(o.Task)
	must(err)
	key := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
	t := k.tasks[key]
	switch {
	case o.Op == wire.CommandStart && t == nil:
		k.start(key, &taskSim{u: k.w.users[ref], k: k, ref: ref, task: task, attempt: o.Attempt, state: wire.TaskFetching, since: k.w.now})
	case o.Op == wire.CommandKill && t != nil && t.state != wire.TaskExited:
		k.kill(t, o.GraceS)
	case o.Op == wire.CommandClear && t != nil && t.state == wire.TaskExited:
		k.remove(key)
		k.urgent = true
	}
}

// start takes a task on, or refuses it.
func (k *workerSim) start(key string, t *taskSim) {
	w, u := k.w, t.u
	k.urgent = true
	k.add(key, t)
	if cause := k.refusal(t); cause != "" {
		t.state, t.cause = wire.TaskExited, cause
		return
	}
	w.started(k, t)
	wait := time.Duration(0)
	if !k.images[u.spec.Image] {
		wait = time.Duration(u.spec.ImageGB / w.cloud.flavor.FetchGBs * (0.7 + 0.6*w.rng.Float64()) * float64(time.Second))
	}
	k.then(t, wait, func() {
		k.images[u.spec.Image] = true
		t.since = w.now
		if u.spec.Shape == wire.ShapeGang {
			k.set(t, wire.TaskWaitingForGang)
			w.gather(t)
			return
		}
		k.begin(t)
	})
}

// refusal is why a worker refuses a task, or "".
func (k *workerSim) refusal(t *taskSim) string {
	if t.u == nil || t.task >= t.u.spec.TaskCount {
		return wire.CauseUnknownJob
	}
	cores, cards, mem := t.u.spec.Cores, t.u.spec.GPUs, t.u.spec.MemoryGB
	for _, name := range sortedKeys(k.tasks) {
		x := k.tasks[name]
		if x == t || x.state == wire.TaskExited {
			continue
		}
		if x.ref == t.ref && x.task == t.task {
			return wire.CauseDuplicate
		}
		cores += x.u.spec.Cores
		cards += x.u.spec.GPUs
		mem += x.u.spec.MemoryGB
	}
	f := k.w.cloud.flavor
	if cores > f.Cores || cards > f.GPUs || mem > f.MemoryGB {
		return wire.CauseNoCapacity
	}
	return ""
}

// kill stops a task, which saves first if it can in the time that it has.
func (k *workerSim) kill(t *taskSim, graceS float64) {
	if t.state == wire.TaskRunning && t.u.spec.CheckpointIntervalS > 0 && graceS >= t.u.spec.CheckpointTimeS {
		k.set(t, wire.TaskCheckpointing)
		k.then(t, time.Duration(t.u.spec.CheckpointTimeS*float64(time.Second)), func() {
			t.saved = true
			k.end(t, wire.CauseStopped)
		})
		return
	}
	if t.state == wire.TaskCheckpointing && graceS > 0 {
		return
	}
	k.end(t, wire.CauseStopped)
}

// then acts on a task after a while unless something else becomes of it.
func (k *workerSim) then(t *taskSim, d time.Duration, f func()) {
	t.gen++
	gen := t.gen
	var act func()
	act = func() {
		if t.gen != gen || k.off || k.tasks[fmt.Sprintf("%s#%d", wire.TaskName(t.ref, t.task), t.attempt)] != t {
			return
		}
		if k.hung {
			k.w.after(time.Second, act)
			return
		}
		f()
	}
	k.w.after(d, act)
}

func (k *workerSim) set(t *taskSim, state string) { t.state, k.urgent = state, true }

func (k *workerSim) end(t *taskSim, cause string) {
	t.gen++
	t.cause = cause
	k.set(t, wire.TaskExited)
}

func (k *workerSim) begin(t *taskSim) {
	k.set(t, wire.TaskRunning)
	if t.u.begun == 0 {
		t.u.begun = k.w.now
	}
	name := wire.TaskName(t.ref, t.task)
	switch {
	case k.sick || t.u.fails:
		k.then(t, time.Second, func() { k.end(t, wire.CauseError) })
	case t.u.spec.Shape == wire.ShapeDaemon:
		t.gen++
	case k.w.done[name]:
		k.end(t, wire.CauseDone)
	default:
		k.then(t, t.u.run, func() {
			k.w.done[name] = true
			if t.u.spec.Shape == wire.ShapeGang {
				for i := range t.u.spec.TaskCount {
					k.w.done[wire.TaskName(t.ref, i)] = true
				}
			}
			k.end(t, wire.CauseDone)
			k.w.jobMayEnd(t.u)
		})
	}
}

// gather starts a gang once all its tasks wait with the same attempt.
func (w *World) gather(t *taskSim) {
	var all []*taskSim
	for _, x := range t.u.on {
		if x.attempt == t.attempt && x.state == wire.TaskWaitingForGang && !x.k.off && !x.k.hung {
			all = append(all, x)
		}
	}
	if len(all) < t.u.spec.TaskCount {
		return
	}
	for _, x := range all {
		x.k.begin(x)
	}
}
