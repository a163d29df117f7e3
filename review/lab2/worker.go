//go:build review

package lab2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// WorkerTimes are the times of the workers, as in the settings.
type WorkerTimes struct{ ReportS, LeaseS, GangWaitS, GangPeerS, CancelS float64 }

// Jobs holds the jobs that users have uploaded, and what ran.
type Jobs struct {
	rec *Recorder

	mu       sync.Mutex
	specs    map[string]Spec
	done     map[string]bool // tasks that have completed, by name
	onHost   map[string]map[string]bool
	starts   map[string]int // starts of each task, by name
	twice    []string
	runTimes map[string]time.Duration
}

// NewJobs returns an empty registry.
func NewJobs(rec *Recorder) *Jobs {
	return &Jobs{rec: rec, specs: map[string]Spec{}, done: map[string]bool{}, onHost: map[string]map[string]bool{}, starts: map[string]int{}, runTimes: map[string]time.Duration{}}
}

// Upload makes a job known to the workers; run is how long each task runs.
func (j *Jobs) Upload(spec Spec, run time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.specs[spec.Ref], j.runTimes[spec.Ref] = spec, run
}

// Starts returns how many tasks of a job have been started at least once.
func (j *Jobs) Starts(ref string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for name := range j.starts {
		if strings.HasPrefix(name, ref+"/") {
			count++
		}
	}
	return count
}

// Completed returns how many tasks of a job have completed on a worker.
func (j *Jobs) Completed(ref string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for name := range j.done {
		if strings.HasPrefix(name, ref+"/") {
			count++
		}
	}
	return count
}

// OnMachines returns how many tasks of a job are on machines.
func (j *Jobs) OnMachines(ref string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for name, hosts := range j.onHost {
		if strings.HasPrefix(name, ref+"/") && len(hosts) > 0 {
			count++
		}
	}
	return count
}

// RanTwice returns the starts of a task on a machine while it was on another.
func (j *Jobs) RanTwice() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.twice...)
}

func (j *Jobs) arrive(name, host string, attempt uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.onHost[name] == nil {
		j.onHost[name] = map[string]bool{}
	}
	for other := range j.onHost[name] {
		if other != host {
			j.twice = append(j.twice, fmt.Sprintf("%s on %s while on %s", name, host, other))
		}
	}
	j.onHost[name][host] = true
	j.starts[name]++
	if !Quiet {
		j.rec.Log("task_on", "frame", name, "try", attempt, "host", host)
	}
}

func (j *Jobs) leave(name, host, cause string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.onHost[name], host)
	if cause == "done" {
		j.done[name] = true
	}
	if !Quiet {
		j.rec.Log("task_off", "frame", name, "host", host, "cause", cause)
	}
}

// Quiet leaves the starts and ends of single tasks out of the record.
var Quiet bool

// RunVaries is by which share the run time of a task may be longer or shorter.
var RunVaries float64

type task struct {
	name    string
	attempt uint64
	state   string
	cause   string
	kept    bool
	arrived bool
	timer   *time.Timer
	spec    Spec
}

// Worker is the stand-in of the worker of a machine.
type Worker struct {
	machine *Machine
	jobs    *Jobs
	times   WorkerTimes
	rec     *Recorder
	nodes   []string          // labels of the controllers
	address map[string]string // by label
	client  *http.Client
	server  *http.Server

	mu        sync.Mutex
	gone      bool
	shift     uint64
	tick      uint64
	mandate   uint64
	tasks     map[string]*task
	images    map[string]bool
	node      int
	renewedAt time.Time
	changed   bool
	Sessions  int // leases that ended
	Refused   map[int]int
	MaxReport int // largest report, in bytes of MessagePack
	wake      chan struct{}
}

// StartWorker starts the worker of a machine.
func StartWorker(m *Machine, jobs *Jobs, times WorkerTimes, nodes []string, address map[string]string, rec *Recorder) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.Addr = listener.Addr().String()
	w := &Worker{machine: m, jobs: jobs, times: times, rec: rec, nodes: nodes, address: address, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}},
		shift: 1, tasks: map[string]*task{}, images: map[string]bool{}, node: rand.IntN(len(nodes)), renewedAt: time.Now(), Refused: map[int]int{}, wake: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.serveOrders)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		respond(rw, http.StatusOK, w.report())
	})
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(listener)
	go w.loop()
	return w, nil
}

// Terminate ends the worker with its machine.
func (w *Worker) Terminate() {
	w.mu.Lock()
	w.gone = true
	w.dropTasks("machine gone")
	w.mu.Unlock()
	w.server.Close()
	w.client.CloseIdleConnections()
}

// Stats returns how many leases ended, the refused reports by status and the largest report.
func (w *Worker) Stats() (sessions int, refused map[int]int, largest int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := map[int]int{}
	for status, count := range w.Refused {
		copied[status] = count
	}
	return w.Sessions, copied, w.MaxReport
}

// Running returns how many tasks are on the machine and have not ended.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, t := range w.tasks {
		if t.state != "ended" {
			count++
		}
	}
	return count
}

func (w *Worker) dropTasks(cause string) {
	for _, t := range w.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		if t.arrived && t.state != "ended" {
			w.jobs.leave(t.name, w.machine.Name, cause)
		}
	}
	w.tasks = map[string]*task{}
}

func (w *Worker) change() {
	w.changed = true
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// checkLease ends the session if the lease is over. The lock must be held.
func (w *Worker) checkLease() {
	if time.Since(w.renewedAt) > time.Duration(w.times.LeaseS*float64(time.Second)) {
		w.rec.Log("lease_over", "host", w.machine.Name, "shift", w.shift, "tasks", len(w.tasks))
		w.dropTasks("lease over")
		w.shift++
		w.Sessions++
		w.renewedAt = time.Now()
		w.change()
	}
}

func (w *Worker) report() object {
	w.tick++
	var names []string
	for key := range w.tasks {
		names = append(names, key)
	}
	sort.Strings(names)
	frames := []object{}
	for _, key := range names {
		t := w.tasks[key]
		frame := object{"frame": t.name, "try": t.attempt, "status": t.state}
		if t.cause != "" {
			frame["exit_cause"] = t.cause
		}
		if t.kept {
			frame["kept"] = true
		}
		frames = append(frames, frame)
	}
	m := w.machine
	return object{"host": m.Name, "addr": m.Addr, "rig": m.SKU, "hall": m.Hall, "loaner": m.Loaner, "shift": w.shift, "tick": w.tick, "mandate": w.mandate, "recall_s": nil, "frames": frames}
}

type orders struct {
	Mandate *uint64 `msgpack:"mandate"`
	Shift   *uint64 `msgpack:"shift"`
	Orders  []struct {
		Order    string  `msgpack:"order"`
		Frame    string  `msgpack:"frame"`
		Try      uint64  `msgpack:"try"`
		WindDown float64 `msgpack:"wind_down_s"`
	} `msgpack:"orders"`
}

func (w *Worker) serveOrders(rw http.ResponseWriter, r *http.Request) {
	var body orders
	if !readBody(rw, r, &body) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if body.Mandate == nil || body.Shift == nil {
		respond(rw, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	w.checkLease()
	if w.gone || *body.Mandate < w.mandate || *body.Shift != w.shift {
		respond(rw, http.StatusConflict, w.report())
		return
	}
	if *body.Mandate > w.mandate {
		w.mandate = *body.Mandate
	}
	w.execute(&body)
	respond(rw, http.StatusOK, w.report())
}

func (w *Worker) execute(body *orders) {
	for _, order := range body.Orders {
		key := order.Frame + "#" + strconv.FormatUint(order.Try, 10)
		t := w.tasks[key]
		switch {
		case order.Order == "start" && t == nil:
			w.startTask(key, order.Frame, order.Try)
		case order.Order == "kill" && t != nil && t.state != "ended":
			if t.state == "running" && t.spec.SnapshotEveryS > 0 && order.WindDown >= t.spec.SnapshotS {
				t.state = "saving"
				t.timer.Stop()
				t.timer = time.AfterFunc(time.Duration(t.spec.SnapshotS*float64(time.Second)), func() { w.finish(t, "halted", true) })
				w.change()
			} else if t.state != "saving" || order.WindDown == 0 {
				w.exit(t, "halted", false)
			}
		case order.Order == "clear" && t != nil && t.state == "ended":
			delete(w.tasks, key)
			w.change()
		}
	}
}

func (w *Worker) startTask(key, name string, attempt uint64) {
	ref, number, _ := strings.Cut(name, "/")
	w.jobs.mu.Lock()
	spec, known := w.jobs.specs[ref]
	run := w.jobs.runTimes[ref]
	w.jobs.mu.Unlock()
	t := &task{name: name, attempt: attempt, state: "fetching", spec: spec}
	w.tasks[key] = t
	w.change()
	index, err := strconv.Atoi(number)
	if !known || err != nil || index >= spec.Frames {
		t.state, t.cause = "ended", "unknown"
		return
	}
	cores, cards, memory := spec.Cores, spec.Cards, spec.MemoryGB
	for _, other := range w.tasks {
		if other == t || other.state == "ended" {
			continue
		}
		if other.name == name {
			t.state, t.cause = "ended", "in_use"
			return
		}
		cores, cards, memory = cores+other.spec.Cores, cards+other.spec.Cards, memory+other.spec.MemoryGB
	}
	const slack = 1e-6
	if f := &w.machine.Flavor; cores > f.Cores+slack || cards > f.Cards+slack || memory > f.MemoryGB+slack {
		t.state, t.cause = "ended", "full"
		return
	}
	fetch := time.Duration(0)
	if !w.images[spec.Toolkit] {
		fetch = time.Duration(spec.SizeGB / w.machine.Flavor.PullGBs * float64(time.Second))
	}
	t.timer = time.AfterFunc(fetch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.gone || w.tasks[key] != t || t.state != "fetching" {
			return
		}
		w.images[spec.Toolkit] = true
		t.arrived = true
		w.jobs.arrive(t.name, w.machine.Name, t.attempt)
		t.state = "running"
		w.change()
		w.jobs.mu.Lock()
		completed := w.jobs.done[t.name]
		w.jobs.mu.Unlock()
		if completed {
			w.exit(t, "done", false)
		} else if spec.Shape != "daemon" {
			t.timer = time.AfterFunc(time.Duration(float64(run)*(1+RunVaries*(2*rand.Float64()-1))), func() { w.finish(t, "done", false) })
		}
	})
}

func (w *Worker) finish(t *task, cause string, kept bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.gone && w.tasks[t.name+"#"+strconv.FormatUint(t.attempt, 10)] == t && t.state != "ended" {
		w.exit(t, cause, kept)
	}
}

func (w *Worker) exit(t *task, cause string, kept bool) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.arrived {
		w.jobs.leave(t.name, w.machine.Name, cause)
	}
	t.state, t.cause, t.kept = "ended", cause, kept
	w.change()
}

func (w *Worker) loop() {
	lastAt := time.Time{}
	for {
		interval := time.Duration(w.times.ReportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		for {
			w.mu.Lock()
			if w.gone {
				w.mu.Unlock()
				return
			}
			w.checkLease()
			due := w.changed && time.Since(lastAt) >= 500*time.Millisecond || time.Since(lastAt) >= interval
			w.mu.Unlock()
			if due {
				break
			}
			select {
			case <-w.wake:
				time.Sleep(10 * time.Millisecond)
			case <-time.After(50 * time.Millisecond):
			}
		}
		lastAt = time.Now()
		if pause := w.send(lastAt); pause > 0 {
			time.Sleep(pause)
			lastAt = time.Time{}
		}
	}
}

// send sends a report, and returns how long to wait before the next one to another node; 0: as usual.
func (w *Worker) send(sentAt time.Time) (pause time.Duration) {
	w.mu.Lock()
	w.changed = false
	shift := w.shift
	body := w.report()
	label := w.nodes[w.node]
	w.mu.Unlock()
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.address[label]+"/v1/report", bytes.NewReader(raw))
	status, answer := 0, []byte(nil)
	if response, err := w.client.Do(request); err == nil {
		answer, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			status = response.StatusCode
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.MaxReport = max(w.MaxReport, len(raw))
	if status != http.StatusOK {
		w.Refused[status]++
	}
	if status == http.StatusBadRequest {
		w.rec.Log("report_refused", "host", w.machine.Name, "node", label, "status", status, "frames", len(w.tasks), "bytes", len(raw), "bytes_json", jsonSize(raw), "answer", string(answer))
	}
	next := func() time.Duration {
		w.node = (w.node + 1) % len(w.nodes)
		return time.Second
	}
	switch status {
	case http.StatusOK:
		var reply orders
		if msgpack.Unmarshal(answer, &reply) != nil {
			return next()
		}
		if w.shift != shift || reply.Mandate == nil || *reply.Mandate < w.mandate {
			return 0
		}
		if *reply.Mandate > w.mandate {
			w.mandate = *reply.Mandate
			w.change()
		}
		w.renewedAt = sentAt
		w.execute(&reply)
		return 0
	case http.StatusMisdirectedRequest:
		var redirect struct {
			Foreman string `msgpack:"foreman"`
		}
		_ = msgpack.Unmarshal(answer, &redirect)
		for i, name := range w.nodes {
			if name == redirect.Foreman && i != w.node {
				w.node = i
				return time.Millisecond
			}
		}
	}
	return next()
}
