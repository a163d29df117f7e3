//go:build review

package standin

import (
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Job is what a user has uploaded about a job, with the true run time of its tasks.
type Job struct {
	Ref, Shape, Team          string
	Frames                    int
	Cores, Cards              float64
	MemoryGB, SizeGB          float64
	Toolkit                   string
	SnapshotEveryS            float64
	SnapshotS                 float64
	Run                       time.Duration // of a task; ignored for services
	Hall                      string
	SamePlace, Spread, Loaner bool
}

// Times are the durations of the protocol with the workers.
type Times struct {
	Report, Lease, GangWait, GangPeer, Cancel time.Duration
}

// Fleet is a stand-in for the workers of all machines. It also notes which tasks are on which
// machines.
type Fleet struct {
	times       Times
	machineType MachineType
	nodes       []string          // labels of the controllers
	addresses   map[string]string // their addresses for workers, by label
	record      *Record
	client      *http.Client

	mu        sync.Mutex
	jobs      map[string]*Job
	workers   map[string]*Worker
	onMachine map[string]map[string]bool // by task: machines that it is on
	finished  map[string]bool            // tasks whose result is kept
	broken    []string
	starts    map[string]int // number of starts, by job

	// CopyAfter returns after which time a copy of a report arrives at every controller; 0: none.
	// OrderDelay returns how long direct commands are held up. Both may be nil.
	CopyAfter, OrderDelay func() time.Duration
	// Reaches says whether a machine in a hall and a controller reach each other; nil: always.
	Reaches func(hall, node string) bool
	// Arrived is called when a task is on its machine, with all tasks that are on machines; the
	// mutex is held. It may be nil.
	Arrived func(task Placed, all []Placed)
}

// Placed is a task that is on a machine.
type Placed struct {
	Job           *Job
	Task, Machine string
	Hall          string
	Spot          bool
	Attempt       uint64
}

// placed returns all tasks that are on machines. The mutex is held.
func (f *Fleet) placed() []Placed {
	var all []Placed
	for _, w := range f.workers {
		for _, t := range w.frames {
			if t.counted {
				all = append(all, Placed{t.job, t.name, w.name, w.hall, w.spot, t.try})
			}
		}
	}
	return all
}

// Placed returns all tasks that are on machines.
func (f *Fleet) Placed() []Placed {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placed()
}

// AllFinished reports whether all tasks of a job have completed. It is for Arrived: the mutex must
// be held.
func (f *Fleet) AllFinished(ref string) bool {
	job := f.jobs[ref]
	for i := 0; job != nil && i < job.Frames; i++ {
		if !f.finished[ref+"/"+strconv.Itoa(i)] {
			return false
		}
	}
	return job != nil
}

// Finished reports whether a task has completed.
func (f *Fleet) Finished(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished[task]
}

// Break notes that a rule was broken. The mutex must be held.
func (f *Fleet) Break(text string) {
	f.broken = append(f.broken, text)
	f.record.Logf("BROKEN %s", text)
}

// NewFleet returns a fleet without machines.
func NewFleet(times Times, machineType MachineType, nodes []string, addresses map[string]string, record *Record) *Fleet {
	return &Fleet{
		times: times, machineType: machineType, nodes: nodes, addresses: addresses, record: record,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		jobs:   map[string]*Job{}, workers: map[string]*Worker{}, onMachine: map[string]map[string]bool{},
		finished: map[string]bool{}, starts: map[string]int{},
	}
}

// AddJob uploads a job's description.
func (f *Fleet) AddJob(job *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job.Ref] = job
}

// Broken returns the rules of ran_twice and quota that were broken so far.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Starts returns how many tasks of a job were started.
func (f *Fleet) Starts(ref string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[ref]
}

// Running returns the names of the machines that a task is on.
func (f *Fleet) Running(task string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.onMachine[task]))
}

// Worker returns the worker of a machine, or nil.
func (f *Fleet) Worker(machine string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[machine]
}

// Workers returns the names of all machines that are up.
func (f *Fleet) Workers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.workers))
}

// frame is a task on a machine. Fields are guarded by the fleet's mutex.
type frame struct {
	job        *Job
	name       string
	try        uint64
	status     string
	cause      string
	kept       bool
	counted    bool // it is on its machine: it has its image and has not exited
	imageAt    time.Time
	gatherFrom time.Time
	runFrom    time.Time
	savedAt    time.Time
}

// Worker is the agent on one machine.
type Worker struct {
	fleet      *Fleet
	name, hall string
	spot       bool
	addr       string
	listener   net.Listener
	stopped    chan struct{}
	poke       chan struct{}

	// Guarded by the fleet's mutex.
	shift, tick, mandate uint64
	leaseFrom            time.Time
	frames               map[string]*frame // by task and attempt
	images               map[string]bool
	changed              bool
	gone                 bool
	muteUntil            time.Time // its reports don't arrive
	deafUntil            time.Time // answers and direct commands don't arrive
	hangUntil            time.Time // it does nothing
}

// Mute keeps the worker's reports from arriving for a time; direct commands still arrive.
func (w *Worker) Mute(d time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.muteUntil = time.Now().Add(d)
	w.fleet.record.Logf("%s is mute for %v", w.name, d)
}

// Deafen keeps answers and direct commands from arriving at the worker for a time.
func (w *Worker) Deafen(d time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.deafUntil = time.Now().Add(d)
	w.fleet.record.Logf("%s is deaf for %v", w.name, d)
}

// Hang stops the worker and its tasks for a time. Direct commands wait.
func (w *Worker) Hang(d time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.hangUntil = time.Now().Add(d)
	w.fleet.record.Logf("%s hangs for %v", w.name, d)
}

// Lose ends the machine without notice.
func (w *Worker) Lose() {
	w.fleet.record.Logf("%s is taken", w.name)
	w.stop()
}

// waitWhileHanging waits until the machine goes on.
func (w *Worker) waitWhileHanging() {
	for {
		w.fleet.mu.Lock()
		left := time.Until(w.hangUntil)
		w.fleet.mu.Unlock()
		if left <= 0 {
			return
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(left):
		}
	}
}

// Boot starts the worker of a new machine.
func (f *Fleet) Boot(name, hall string, spot bool) (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.record.Logf("%s has no address: %v", name, err)
		return "", func() {}
	}
	w := &Worker{
		fleet: f, name: name, hall: hall, spot: spot, addr: listener.Addr().String(), listener: listener,
		stopped: make(chan struct{}), poke: make(chan struct{}, 1),
		shift: 1, leaseFrom: time.Now(), frames: map[string]*frame{}, images: map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.serveOrders)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		report := w.report()
		f.mu.Unlock()
		respond(rw, http.StatusOK, report)
	})
	go func() { _ = http.Serve(listener, mux) }() // until stop
	f.mu.Lock()
	f.workers[name] = w
	f.mu.Unlock()
	f.record.Logf("%s is up in %s", name, hall)
	go w.reportLoop()
	go w.taskLoop()
	return w.addr, w.stop
}

// stop ends the machine with everything on it.
func (w *Worker) stop() {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.gone {
		return
	}
	w.gone = true
	close(w.stopped)
	w.listener.Close()
	w.dropAll("machine gone")
	delete(f.workers, w.name)
}

func (w *Worker) dropAll(reason string) {
	for key, t := range w.frames {
		w.leave(t, reason)
		delete(w.frames, key)
	}
}

// report returns the worker's report; each has a higher tick.
func (w *Worker) report() Map {
	w.tick++
	frames := []any{}
	for _, key := range slices.Sorted(maps.Keys(w.frames)) {
		t := w.frames[key]
		m := Map{"frame": t.name, "try": t.try, "status": t.status}
		if t.status == "ended" {
			m["exit_cause"] = t.cause
			if t.kept {
				m["kept"] = true
			}
		}
		frames = append(frames, m)
	}
	return Map{"host": w.name, "addr": w.addr, "rig": w.fleet.machineType.Name, "hall": w.hall, "loaner": w.spot,
		"shift": w.shift, "tick": w.tick, "mandate": w.mandate, "recall_s": nil, "frames": frames}
}

const (
	reportTimeout  = 4 * time.Second
	minReportPause = 500 * time.Millisecond
	maxOrderBytes  = 64 << 10
)

// reportLoop sends reports to one controller at a time.
func (w *Worker) reportLoop() {
	f := w.fleet
	at := rand.IntN(len(f.nodes))
	lastSent := time.Time{}
	nextNode := func() time.Duration { at = (at + 1) % len(f.nodes); return time.Second }
	pause := time.Duration(0)
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(pause):
		}
		w.waitWhileHanging()
		f.mu.Lock()
		w.changed = false
		body, sentAt, shift := encode(w.report()), time.Now(), w.shift
		mute := time.Now().Before(w.muteUntil)
		f.mu.Unlock()
		mute = mute || f.Reaches != nil && !f.Reaches(w.hall, f.nodes[at])
		lastSent = sentAt
		url := "http://" + f.addresses[f.nodes[at]] + "/v1/report"
		var answer Answer
		if mute {
			time.Sleep(reportTimeout)
		} else {
			answer = Call(f.client, http.MethodPost, url, body, reportTimeout)
			if f.CopyAfter != nil {
				if after := f.CopyAfter(); after > 0 {
					nodes := f.nodes
					time.AfterFunc(after, func() {
						for _, node := range nodes {
							Call(f.client, http.MethodPost, "http://"+f.addresses[node]+"/v1/report", body, reportTimeout)
						}
					})
				}
			}
		}
		f.mu.Lock()
		hung, deaf := time.Now().Before(w.hangUntil), time.Now().Before(w.deafUntil)
		f.mu.Unlock()
		if hung || deaf {
			w.waitWhileHanging()
			if time.Since(sentAt) < reportTimeout && !hung {
				time.Sleep(time.Until(sentAt.Add(reportTimeout)))
			}
			if deaf || time.Since(sentAt) > reportTimeout {
				answer = Answer{}
			}
		}
		switch answer.Status {
		case http.StatusOK:
			f.mu.Lock()
			w.obey(answer.Body, shift, sentAt)
			f.mu.Unlock()
			pause = w.waitForNext(lastSent)
		case http.StatusMisdirectedRequest:
			to := slices.Index(f.nodes, answer.Text("foreman"))
			if to >= 0 && to != at {
				at, pause = to, time.Duration(rand.IntN(500))*time.Millisecond
			} else {
				pause = nextNode()
			}
		default:
			pause = nextNode()
		}
	}
}

// waitForNext waits until the next report is due, and returns the pause that is left.
func (w *Worker) waitForNext(lastSent time.Time) time.Duration {
	f := w.fleet
	interval := time.Duration(float64(f.times.Report) * (0.75 + 0.5*rand.Float64()))
	timer := time.NewTimer(time.Until(lastSent.Add(interval)))
	defer timer.Stop()
	for {
		f.mu.Lock()
		changed := w.changed
		f.mu.Unlock()
		if changed {
			return time.Until(lastSent.Add(minReportPause))
		}
		select {
		case <-w.stopped:
			return 0
		case <-timer.C:
			return 0
		case <-w.poke:
		}
	}
}

func (w *Worker) touch() {
	w.changed = true
	select {
	case w.poke <- struct{}{}:
	default:
	}
}

// obey carries out the answer to a report that was sent in an epoch. The mutex is held.
func (w *Worker) obey(body Map, shift uint64, sentAt time.Time) {
	mandate := integer(body["mandate"])
	if w.gone || shift != w.shift || mandate == 0 || mandate < w.mandate {
		return
	}
	if mandate > w.mandate {
		w.mandate = mandate
		w.touch()
	}
	w.leaseFrom = sentAt
	orders, _ := body["orders"].([]any)
	w.execute(orders)
}

func (w *Worker) serveOrders(rw http.ResponseWriter, r *http.Request) {
	body, ok := readMap(r)
	_, hasMandate := body["mandate"]
	_, hasShift := body["shift"]
	if !ok || !hasMandate || !hasShift {
		respond(rw, http.StatusBadRequest, Map{"error": "malformed"})
		return
	}
	f := w.fleet
	if f.OrderDelay != nil {
		time.Sleep(f.OrderDelay())
	}
	w.waitWhileHanging()
	f.mu.Lock()
	if time.Now().Before(w.deafUntil) {
		f.mu.Unlock()
		<-r.Context().Done()
		return
	}
	status := http.StatusOK
	if w.gone || integer(body["mandate"]) < w.mandate || integer(body["shift"]) != w.shift {
		status = http.StatusConflict
	} else {
		if mandate := integer(body["mandate"]); mandate > w.mandate {
			w.mandate = mandate
			w.touch()
		}
		orders, _ := body["orders"].([]any)
		w.execute(orders)
	}
	report := w.report()
	f.mu.Unlock()
	respond(rw, status, report)
}

// execute carries out commands in order. The mutex is held.
func (w *Worker) execute(orders []any) {
	for _, x := range orders {
		m, _ := x.(Map)
		name, try := text(m["frame"]), integer(m["try"])
		key := name + "#" + strconv.FormatUint(try, 10)
		switch text(m["order"]) {
		case "start":
			if w.frames[key] == nil {
				w.start(key, name, try)
			}
		case "kill":
			if t := w.frames[key]; t != nil && t.status != "ended" {
				w.kill(t, number(m["wind_down_s"]))
			}
		case "clear":
			if t := w.frames[key]; t != nil && t.status == "ended" {
				delete(w.frames, key)
			}
		}
	}
}

func (w *Worker) start(key, name string, try uint64) {
	f := w.fleet
	ref, index, _ := strings.Cut(name, "/")
	number, err := strconv.Atoi(index)
	job := f.jobs[ref]
	t := &frame{job: job, name: name, try: try, status: "ended"}
	w.frames[key] = t
	w.touch()
	if job == nil || err != nil || number < 0 || number >= job.Frames {
		t.job, t.cause = &Job{Ref: ref}, "unknown"
		return
	}
	cores, cards, memory := job.Cores, job.Cards, job.MemoryGB
	for _, other := range w.frames {
		if other == t || other.status == "ended" {
			continue
		}
		if other.name == name {
			t.cause = "in_use"
			return
		}
		cores, cards, memory = cores+other.job.Cores, cards+other.job.Cards, memory+other.job.MemoryGB
	}
	const slack = 1e-6
	if cores > f.machineType.Cores+slack || cards > f.machineType.Cards+slack || memory > f.machineType.MemoryGB+slack {
		t.cause = "full"
		return
	}
	t.status = "fetching"
	t.imageAt = time.Now()
	if !w.images[job.Toolkit] {
		t.imageAt = t.imageAt.Add(time.Duration(job.SizeGB / f.machineType.PullGBPerS * float64(time.Second)))
	}
	f.record.Logf("%s starts %s try %d", w.name, name, try)
}

func (w *Worker) kill(t *frame, graceS float64) {
	if t.status == "running" && t.job.SnapshotEveryS > 0 && graceS >= t.job.SnapshotS {
		t.status, t.savedAt = "saving", time.Now().Add(time.Duration(t.job.SnapshotS*float64(time.Second)))
		w.touch()
		return
	}
	if t.status == "saving" && graceS > 0 {
		return
	}
	w.exit(t, "halted")
}

// exit ends a task that stays in the reports until it is cleared.
func (w *Worker) exit(t *frame, cause string) {
	w.leave(t, cause)
	t.status, t.cause = "ended", cause
	w.touch()
}

// arrive notes that a task is on its machine from now on.
func (w *Worker) arrive(t *frame) {
	f := w.fleet
	t.counted = true
	if f.onMachine[t.name] == nil {
		f.onMachine[t.name] = map[string]bool{}
	}
	if len(f.onMachine[t.name]) > 0 {
		f.Break("ran_twice: " + t.name + " on " + w.name + " and " + strings.Join(slices.Sorted(maps.Keys(f.onMachine[t.name])), ", "))
	}
	f.onMachine[t.name][w.name] = true
	f.starts[t.job.Ref]++
	f.record.Logf("%s has %s try %d on it", w.name, t.name, t.try)
	if f.Arrived != nil {
		f.Arrived(Placed{t.job, t.name, w.name, w.hall, w.spot, t.try}, f.placed())
	}
}

// leave notes that a task is no longer on its machine.
func (w *Worker) leave(t *frame, reason string) {
	if !t.counted {
		return
	}
	t.counted = false
	delete(w.fleet.onMachine[t.name], w.name)
	w.fleet.record.Logf("%s no longer has %s try %d: %s", w.name, t.name, t.try, reason)
}

// taskLoop moves the tasks on, and ends the epoch with the lease.
func (w *Worker) taskLoop() {
	f := w.fleet
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.waitWhileHanging()
		f.mu.Lock()
		now := time.Now()
		if now.Sub(w.leaseFrom) > f.times.Lease {
			w.dropAll("lease ended")
			w.shift++
			w.leaseFrom = now
			f.record.Logf("%s begins session %d", w.name, w.shift)
			w.touch()
		}
		for _, t := range w.frames {
			w.advance(t, now)
		}
		f.mu.Unlock()
	}
}

func (w *Worker) advance(t *frame, now time.Time) {
	f := w.fleet
	switch t.status {
	case "fetching":
		if now.Before(t.imageAt) {
			return
		}
		w.images[t.job.Toolkit] = true
		w.arrive(t)
		switch {
		case f.finished[t.name]:
			w.exit(t, "done")
		case t.job.Shape == "gang":
			t.status, t.gatherFrom = "gathering", now
			f.gather(t, now)
			w.touch()
		default:
			t.status, t.runFrom = "running", now
			w.touch()
		}
	case "gathering":
		if now.Sub(t.gatherFrom) > f.times.GangWait {
			w.exit(t, "alone")
		}
	case "running":
		if t.job.Shape == "gang" && !f.complete(t) {
			if t.gatherFrom.After(t.runFrom) {
				if now.Sub(t.gatherFrom) > f.times.GangPeer/2 {
					w.exit(t, "peers")
				}
			} else {
				t.gatherFrom = now // when the loss was seen
			}
			return
		}
		if t.job.Shape != "daemon" && now.Sub(t.runFrom) > t.job.Run {
			f.finished[t.name] = true
			if t.job.Shape == "gang" {
				for i := range t.job.Frames {
					f.finished[t.job.Ref+"/"+strconv.Itoa(i)] = true
				}
			}
			w.exit(t, "done")
		}
	case "saving":
		if now.After(t.savedAt) {
			t.kept = true
			w.exit(t, "halted")
		}
	}
}

// eachOf calls a function for each task of the same attempt of a gang.
func (f *Fleet) eachOf(t *frame, visit func(w *Worker, other *frame)) {
	for _, w := range f.workers {
		for _, other := range w.frames {
			if other.job == t.job && other.try == t.try {
				visit(w, other)
			}
		}
	}
}

// gather starts a gang once its last task has its image.
func (f *Fleet) gather(t *frame, now time.Time) {
	waiting := 0
	f.eachOf(t, func(_ *Worker, other *frame) {
		if other.status == "gathering" {
			waiting++
		}
	})
	if waiting < t.job.Frames {
		return
	}
	f.eachOf(t, func(w *Worker, other *frame) {
		other.status, other.runFrom = "running", now
		w.touch()
	})
}

// complete reports whether all tasks of a gang's attempt still run.
func (f *Fleet) complete(t *frame) bool {
	running := 0
	f.eachOf(t, func(_ *Worker, other *frame) {
		if other.status == "running" || other.status == "saving" || other.status == "ended" && other.cause == "done" {
			running++
		}
	})
	return running >= t.job.Frames
}
