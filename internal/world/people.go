package world

import (
	"fmt"
	"slices"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// userSim is a user with one job.
type userSim struct {
	w         *World
	spec      wire.Spec
	run       time.Duration
	fails     bool // a job submitted with a mistake
	accepted  bool
	told      string        // the last status heard
	toldAt    time.Duration // when
	withdrawn time.Duration // when told; 0 if not
	asked     bool          // the user has asked to withdraw
	status    wire.JobStatus
	lastCode  int
	lastOK    time.Duration
	codes     []int
	only      int           // the controller it asks; -1: any
	since     time.Duration // when it first submitted
	begun     time.Duration // when all of a gang, or the first of other tasks, ran; 0: not yet
	on        []*taskSim    // its tasks on machines, in the order in which they came

	besideRoom time.Duration // since when it waits though there is room; 0: it does not
}

// Submit has a user submit a job, repeatedly until it is accepted.
func (w *World) Submit(s wire.Spec, run time.Duration, only int) {
	u := &userSim{w: w, spec: s, run: run, only: only, since: w.now}
	w.users[s.Ref] = u
	w.order = append(w.order, u)
	u.submit(w.now)
	w.every(5*time.Second, u.poll)
}

func (u *userSim) body() []byte {
	s := u.spec
	m := map[string]any{
		"ref": s.Ref, "job_class": s.Class, "studio": s.Team, "shape": s.Shape, "urgency": s.Urgency,
		"frames": s.Frames, "cores": s.Cores, "cards": s.Cards, "memory_gb": s.MemoryGB, "toolkit": s.Image,
		"size_gb": s.ImageGB, "rigs": nil, "hall": nil, "same_place": s.SameZone, "spread": s.Spread,
		"loaner": s.Spot, "expected_s": s.ExpectedS, "snapshot_every_s": s.CheckpointS, "snapshot_s": s.SaveS,
	}
	if s.Zone != "" {
		m["hall"] = s.Zone
	}
	if s.Rigs != nil {
		m["rigs"] = s.Rigs
	}
	if s.WaitsOn != nil {
		m["waits_on"] = s.WaitsOn
	}
	if s.DueS > 0 {
		m["due_s"] = s.DueS
	}
	b, err := wire.Encode(m)
	must(err)
	return b
}

// at asks some controller that is up; code 0 means that no answer came.
func (w *World) at(kind wire.RequestKind, ref string, body []byte, patience time.Duration, f func(core.Reply)) {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if u := w.users[ref]; u != nil && u.only >= 0 {
		n = w.nodes[u.only]
	}
	w.askOf(n, kind, ref, body, patience, f)
}

// askOf is at for one controller.
func (w *World) askOf(n *node, kind wire.RequestKind, ref string, body []byte, patience time.Duration, f func(core.Reply)) {
	answered := false
	get := func(r core.Reply) {
		if !answered {
			answered = true
			f(r)
		}
	}
	w.after(patience, func() { get(core.Reply{}) })
	if n.up {
		n.ask(func(req uint64) any { return core.UserRequest{Req: req, Kind: kind, Ref: ref, Body: body} }, get)
	}
}

func (u *userSim) submit(first time.Duration) { u.send(first, u.body()) }

func (u *userSim) send(first time.Duration, body []byte) {
	asked := u.w.now
	u.w.at(wire.Submit, u.spec.Ref, body, 5*time.Second, func(r core.Reply) {
		u.codes = append(u.codes, r.Status)
		switch {
		case r.Status == 200 || r.Status == 201:
			u.accepted = true
			u.lastOK = u.w.now
			u.hear(asked, r)
		case r.Status == 400 || r.Status == 422:
			if u.accepted {
				u.w.broke("forgotten", "%s: repeat got %d", u.spec.Ref, r.Status)
			}
		case u.w.now-first < 60*time.Second:
			u.w.after(time.Second, func() { u.send(first, body) })
		}
	})
}

func (u *userSim) poll() {
	if !u.accepted {
		return
	}
	asked := u.w.now
	u.w.at(wire.Poll, u.spec.Ref, nil, 2*time.Second, func(r core.Reply) {
		u.lastCode = r.Status
		switch r.Status {
		case 200:
			u.lastOK = u.w.now
			u.hear(asked, r)
		case 404:
			u.w.broke("forgotten", "%s: 404 after it was accepted", u.spec.Ref)
		}
	})
}

// hear checks an answer against what the user was told before.
func (u *userSim) hear(asked time.Duration, r core.Reply) {
	var s wire.JobStatus
	switch b := r.Body.(type) {
	case wire.JobStatus:
		s = b
	case []byte:
		must(wire.Decode(b, &s))
	}
	if asked < u.toldAt {
		return // asked before the last answer came; may be older
	}
	u.status = s
	if final := s.Status == wire.StatusDone || s.Status == wire.StatusWithdrawn; u.told == "" || final && s.Status != u.told {
		defer u.lookClosely()
	}
	if (u.told == wire.StatusDone || u.told == wire.StatusWithdrawn) && s.Status != u.told {
		u.w.broke("went_back", "%s: %s after %s", u.spec.Ref, s.Status, u.told)
	}
	if s.Status == wire.StatusWithdrawn && !u.asked && u.above(func(a *userSim) bool { return a.asked }) == nil {
		u.w.broke("went_back", "%s: withdrawn unasked", u.spec.Ref)
	}
	if s.Status != wire.StatusDone && s.Status != wire.StatusWithdrawn {
		if a := u.above(func(a *userSim) bool { return a.withdrawn > 0 && asked-a.withdrawn > u.w.Cancel }); a != nil {
			u.w.broke("orphaned", "%s: %s, though %s was withdrawn %v ago", u.spec.Ref, s.Status, a.spec.Ref, u.w.now-a.withdrawn)
		}
	}
	if s.Status == wire.StatusDone {
		for t := range u.spec.Frames {
			if !u.w.done[wire.TaskName(u.spec.Ref, t)] {
				u.w.broke("not_done", "%s: called done, task %d is not", u.spec.Ref, t)
				break
			}
		}
	}
	u.told, u.toldAt = s.Status, u.w.now
}

// Withdraw has a job's user withdraw it, repeatedly until told so.
func (w *World) Withdraw(ref string) {
	u := w.users[ref]
	u.asked = true
	asked := w.now
	w.at(wire.Withdraw, ref, nil, 5*time.Second, func(r core.Reply) {
		if r.Status != 200 {
			w.after(time.Second, func() { w.Withdraw(ref) })
			return
		}
		u.hear(asked, r)
		if u.told == wire.StatusWithdrawn && u.withdrawn == 0 {
			u.withdrawn = w.now
		}
	})
}

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

func (k *workerSim) snapshot() *wire.Report {
	k.seq++
	r := &wire.Report{Host: k.m.Name, Addr: k.m.Addr, Rig: k.m.Rig, Zone: k.m.Zone, Spot: k.m.Spot,
		Session: k.session, Seq: k.seq, Token: k.token}
	if k.recallAt > 0 {
		left := (k.recallAt - k.w.now).Seconds()
		r.RecallS = &left
	}
	for _, name := range sortedKeys(k.tasks) {
		t := k.tasks[name]
		r.Tasks = append(r.Tasks, wire.Task{Task: wire.TaskName(t.ref, t.task), Attempt: t.attempt, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	return r
}

func (k *workerSim) report() {
	w := k.w
	k.busy, k.urgent, k.lastSent = true, false, w.now
	w.meter.reports++
	k.tickets++
	ticket, session, sent := k.tickets, k.session, w.now
	r := k.snapshot()
	n := w.nodes[k.node]
	next := func(wait time.Duration, node int) {
		k.node = node
		w.after(wait, func() {
			if k.tickets == ticket && !k.off {
				k.busy, k.urgent = false, true
			}
		})
	}
	w.after(4*time.Second, func() {
		if k.tickets == ticket && k.busy {
			next(time.Second, (k.node+1)%len(w.nodes))
		}
	})
	if w.now < k.muteTo {
		return
	}
	if w.cut(k.m.Name, k.m.Zone, n.label, n.zone) {
		if w.holds(k.m.Name, k.m.Zone, n.label, n.zone) {
			// Delivered after the cut; the answer comes far too late.
			var later func()
			later = func() {
				if w.cut(k.m.Name, k.m.Zone, n.label, n.zone) {
					w.after(time.Second, later)
					return
				}
				n.ask(func(req uint64) any { return core.Reported{Req: req, Report: r} }, func(core.Reply) {})
			}
			w.after(time.Second, later)
		}
		return
	}
	if w.now < w.lossTo && w.rng.Float64() < w.loss {
		// Lost, or held back and delivered much later, to a controller that
		// may have taken over meanwhile.
		w.after(time.Duration(w.rng.IntN(60000))*time.Millisecond, func() {
			m := w.nodes[w.rng.IntN(len(w.nodes))]
			m.ask(func(req uint64) any { return core.Reported{Req: req, Report: r} }, func(core.Reply) {})
		})
		return
	}
	w.copyLater(r)
	if w.now < w.copiesTo {
		// The network delivers it a second time, to whom it will.
		m := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(time.Second+time.Duration(w.rng.Int64N(int64(w.copyDelay))), func() {
			m.ask(func(req uint64) any { return core.Reported{Req: req, Report: r} }, func(core.Reply) {})
		})
	}
	n.ask(func(req uint64) any { return core.Reported{Req: req, Report: r} }, func(a core.Reply) {
		if w.now < k.deafTo {
			return
		}
		if w.cut(k.m.Name, k.m.Zone, n.label, n.zone) || w.now < w.lossTo && w.rng.Float64() < w.loss {
			return
		}
		w.after(w.latency(), func() {
			if k.off || k.hung || k.tickets != ticket || !k.busy || k.session != session {
				return
			}
			switch a.Status {
			case 200:
				k.busy = false
				body := a.Body.(wire.ReportReply)
				if body.Token < k.token {
					return
				}
				if body.Token > k.token {
					k.token = body.Token
					k.urgent = true
				}
				k.answered = sent
				for _, o := range body.Orders {
					k.execute(o)
				}
			case 421:
				owner := a.Body.(wire.Redirect).Owner
				for i, m := range w.nodes {
					if m.label == owner && i != k.node {
						next(time.Duration(w.rng.IntN(500))*time.Millisecond, i)
						return
					}
				}
				next(time.Second, (k.node+1)%len(w.nodes))
			default:
				next(time.Second, (k.node+1)%len(w.nodes))
			}
		})
	})
}

// take obeys orders that came to the worker's own address, once it runs and
// nothing holds them back any more.
func (k *workerSim) take(o wire.Orders, held func() bool, done func(core.Outcome)) {
	if k.off {
		return
	}
	if k.hung || held != nil && held() {
		k.w.after(300*time.Millisecond, func() { k.take(o, held, done) })
		return
	}
	k.lease()
	if o.Token < k.token || o.Session != k.session {
		done(core.Conflict)
		return
	}
	k.token = o.Token
	for _, x := range o.Orders {
		k.execute(x)
	}
	k.seq++ // its answer shows what it does, as a report would
	done(core.OK)
}

func (k *workerSim) execute(o wire.Order) {
	w := k.w
	ref, task, err := wire.SplitTask(o.Task)
	must(err)
	key := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
	t := k.tasks[key]
	switch o.Op {
	case wire.OrderStart:
		if t != nil {
			return
		}
		k.urgent = true
		u := w.users[ref]
		t = &taskSim{u: u, k: k, ref: ref, task: task, attempt: o.Attempt, state: wire.TaskFetching, since: w.now}
		k.add(key, t)
		if u == nil || task >= u.spec.Frames {
			t.state, t.cause = wire.TaskEnded, wire.CauseUnknown
			return
		}
		cores, cards, mem := u.spec.Cores, u.spec.Cards, u.spec.MemoryGB
		for _, name := range sortedKeys(k.tasks) {
			x := k.tasks[name]
			if x == t || x.state == wire.TaskEnded {
				continue
			}
			if x.ref == ref && x.task == task {
				t.state, t.cause = wire.TaskEnded, wire.CauseInUse
				return
			}
			cores += x.u.spec.Cores
			cards += x.u.spec.Cards
			mem += x.u.spec.MemoryGB
		}
		f := w.cloud.flavor
		if cores > f.Cores || cards > f.Cards || mem > f.MemoryGB {
			t.state, t.cause = wire.TaskEnded, wire.CauseFull
			return
		}
		w.started(k, t)
		wait := time.Duration(0)
		if !k.images[u.spec.Image] {
			wait = time.Duration(u.spec.ImageGB / f.FetchGBs * (0.7 + 0.6*w.rng.Float64()) * float64(time.Second))
		}
		k.then(t, wait, func() {
			k.images[u.spec.Image] = true
			t.since = w.now
			if u.spec.Shape == wire.ShapeGang {
				k.set(t, wire.TaskGathering)
				w.gather(t)
				return
			}
			k.begin(t)
		})
	case wire.OrderKill:
		if t == nil || t.state == wire.TaskEnded {
			return
		}
		if t.state == wire.TaskRunning && t.u.spec.CheckpointS > 0 && o.GraceS >= t.u.spec.SaveS {
			k.set(t, wire.TaskSaving)
			k.then(t, time.Duration(t.u.spec.SaveS*float64(time.Second)), func() {
				t.saved = true
				k.end(t, wire.CauseHalted)
			})
			return
		}
		if t.state == wire.TaskSaving && o.GraceS > 0 {
			return
		}
		k.end(t, wire.CauseHalted)
	case wire.OrderClear:
		if t != nil && t.state == wire.TaskEnded {
			k.remove(key)
			k.urgent = true
		}
	}
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
	k.set(t, wire.TaskEnded)
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
				for i := range t.u.spec.Frames {
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
		if x.attempt == t.attempt && x.state == wire.TaskGathering && !x.k.off && !x.k.hung {
			all = append(all, x)
		}
	}
	if len(all) < t.u.spec.Frames {
		return
	}
	for _, x := range all {
		x.k.begin(x)
	}
}
