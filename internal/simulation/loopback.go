package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/wire"
)

// Loopback runs real controllers: processes of the built program, which reach the models
// of this package over the protocols on 127.0.0.1, through a proxy on every link. The
// models, and the rules that they check, are those of the simulated world; its clock runs
// in step with the real one, and all of it is played by one goroutine.
type Loopback struct {
	*Simulation
	dir       string
	binary    string
	startedAt time.Time
	injected  chan func()
	client    *http.Client

	operatorFile string // operators' settings, or ""
	processes    []*process
	servers      []*http.Server
	mu           sync.Mutex
	closed       bool
}

// process is a controller's program with its addresses.
type process struct {
	command                    *exec.Cmd
	settingsPath               string
	publicAddress, peerAddress string
	frontProxy                 *proxy // workers and users to the controller
	stateProxy, cloudProxy     *proxy
	peerProxies                map[int]*proxy
	logFile                    *os.File
}

// NewLoopback starts the services and the controllers. Binary is the built program, dir
// a directory for its settings and logs, and operator the operators' settings.
func NewLoopback(s Settings, binary, dir, operator string, trace func(string, ...any)) (*Loopback, error) {
	loopback := &Loopback{
		dir: dir, binary: binary, operatorFile: operator, startedAt: time.Now(), injected: make(chan func(), 1024),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}, Timeout: 6 * time.Second},
	}
	s.startController = loopback.startProcess
	s.sendRequest = loopback.sendRequest
	s.serveWorker = loopback.serveWorker
	loopback.processes = make([]*process, len(s.ControllerZones))
	for i := range loopback.processes {
		proc, err := reserveAddresses(s.Seed, i)
		if err != nil {
			return nil, err
		}
		loopback.processes[i] = proc
	}
	loopback.Simulation = newSimulation(s, trace)
	for i := range loopback.processes {
		if err := loopback.connect(i); err != nil {
			return nil, err
		}
	}
	loopback.Simulation.start()
	return loopback, nil
}

// reserveAddresses finds two addresses for a controller. They are at a loopback address of its
// own: everything else listens at 127.0.0.1 and can't take a port while the controller is
// away. Sites with other seeds that are played at the same time have others.
func reserveAddresses(seed uint64, i int) (*process, error) {
	proc := &process{peerProxies: map[int]*proxy{}}
	var held []net.Listener
	for _, into := range []*string{&proc.publicAddress, &proc.peerAddress} {
		free, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 1+seed%250, i+1))
		if err != nil {
			return nil, err
		}
		*into = free.Addr().String()
		held = append(held, free)
	}
	for _, free := range held {
		free.Close()
	}
	return proc, nil
}

// connect makes the proxies of a controller and writes its settings.
func (loopback *Loopback) connect(i int) error {
	proc, ctrl := loopback.processes[i], loopback.controllers[i]
	var err error
	make := func(target string) *proxy {
		var made *proxy
		if err == nil {
			made, err = newProxy(target)
		}
		return made
	}
	proc.frontProxy = make(proc.publicAddress)
	proc.stateProxy = make(loopback.serve(loopback.stateHandler(ctrl)))
	proc.cloudProxy = make(loopback.serve(loopback.cloudHandler(ctrl)))
	for k := range loopback.processes {
		if k != i {
			proc.peerProxies[k] = make(loopback.processes[k].peerAddress)
		}
	}
	if err != nil {
		return err
	}
	raw, err := json.Marshal(loopback.settings(i))
	if err != nil {
		return err
	}
	proc.settingsPath = filepath.Join(loopback.dir, ctrl.label+".json")
	if proc.logFile, err = os.Create(filepath.Join(loopback.dir, ctrl.label+".log")); err != nil {
		return err
	}
	return os.WriteFile(proc.settingsPath, raw, 0o600)
}

// settings are those of the platform for a controller.
func (loopback *Loopback) settings(i int) *config.Settings {
	proc, ctrl, sim := loopback.processes[i], loopback.controllers[i], loopback.Simulation
	s := &config.Settings{Label: ctrl.label, Zone: ctrl.zone, Bind: proc.publicAddress, ClusterBind: proc.peerAddress}
	s.External.State, s.External.Cloud = proc.stateProxy.address(), proc.cloudProxy.address()
	for k, other := range sim.controllers {
		if k != i {
			s.Peers = append(s.Peers, config.Peer{Label: other.label, Zone: other.zone, Address: proc.peerProxies[k].address()})
		}
	}
	d := &s.Deployment
	d.Zones = sim.Zones
	for _, t := range sim.Teams {
		d.Teams = append(d.Teams, config.Team{Name: t.Name, GuaranteedCores: t.GuaranteedCores, MaxCores: t.MaxCores, GuaranteedGPUs: t.GuaranteedGPUs, MaxGPUs: t.MaxGPUs})
	}
	d.Workers.ReportS, d.Workers.LeaseS, d.Workers.CancelS = sim.HeartbeatInterval.Seconds(), sim.WorkerLease.Seconds(), sim.CancelDeadline.Seconds()
	d.Workers.GangWaitS, d.Workers.GangPeerS = sim.GangWait.Seconds(), sim.GangPeerTimeout.Seconds()
	d.State.RPS, d.State.WriteRPS = stateRPS, sim.WriteRPS
	d.State.ValueKB, d.State.TxnOps = float64(sim.MaxValueBytes)/1024, sim.MaxTransactionOps
	d.Cloud.RPS, d.Cloud.ListLagS = cloudRPS, 4
	d.Limits.CoreShare = 1
	return s
}

// What the services on loopback take a second.
const (
	stateRPS = 2000
	cloudRPS = 20
)

// startProcess starts a controller's process.
func (loopback *Loopback) startProcess(ctrl *controller) {
	loopback.mu.Lock()
	defer loopback.mu.Unlock()
	if loopback.closed {
		return
	}
	proc := loopback.processes[ctrl.index]
	args := []string{"--config", proc.settingsPath}
	if loopback.operatorFile != "" {
		args = append(args, "--operator", loopback.operatorFile)
	}
	proc.command = exec.Command(loopback.binary, args...)
	proc.command.Stderr = proc.logFile
	if err := proc.command.Start(); err != nil {
		loopback.rules.violated("start", "%s: %v", ctrl.label, err)
		return
	}
	incarnation, cmd := ctrl.incarnation, proc.command
	go func() {
		err := cmd.Wait()
		loopback.post(func() {
			if ctrl.running && ctrl.incarnation == incarnation {
				loopback.rules.violated("ended_by_itself", "%s: %v", ctrl.label, err)
			}
		})
	}()
}

// Kill ends a controller without a signal that it could handle; it is back after d.
func (loopback *Loopback) Kill(ix int, d time.Duration) {
	if !loopback.controllers[ix].running {
		return
	}
	loopback.crash(ix, d)
	loopback.signal(ix, syscall.SIGKILL)
}

// Stop makes a controller stand still for d.
func (loopback *Loopback) Stop(ix int, d time.Duration) {
	ctrl := loopback.beginFailure(ix, d)
	if ctrl == nil {
		return
	}
	incarnation := ctrl.incarnation
	loopback.signal(ix, syscall.SIGSTOP)
	loopback.after(d, func() {
		if ctrl.running && ctrl.incarnation == incarnation {
			loopback.signal(ix, syscall.SIGCONT)
		}
	})
}

// Isolate cuts a controller from the state service or from its peers, in one or both
// directions, holding what is sent or refusing connections.
func (loopback *Loopback) Isolate(ix int, fromState bool, forth, back linkState, d time.Duration) {
	loopback.rules.faultsLast(d)
	var links []*proxy
	if fromState {
		links = append(links, loopback.processes[ix].stateProxy)
	} else {
		for k := range loopback.processes {
			if k != ix {
				links = append(links, loopback.processes[ix].peerProxies[k], loopback.processes[k].peerProxies[ix])
			}
		}
	}
	for _, link := range links {
		link.set(forth, back, 0)
	}
	loopback.after(d, func() {
		for _, link := range links {
			link.set(linkUp, linkUp, 0)
		}
	})
}

func (loopback *Loopback) signal(ix int, s syscall.Signal) {
	loopback.mu.Lock()
	defer loopback.mu.Unlock()
	if cmd := loopback.processes[ix].command; cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(s) // it may have ended
	}
}

// Play runs the world in step with the clock until a time, or until a rule is broken.
func (loopback *Loopback) Play(until time.Duration) {
	for len(loopback.rules.violations) == 0 {
		now := time.Since(loopback.startedAt)
		if now >= until {
			return
		}
		next := until
		if len(loopback.queue) > 0 {
			next = min(next, loopback.queue[0].at)
		}
		if next <= now {
			loopback.Run(now)
			continue
		}
		select {
		case f := <-loopback.injected:
			loopback.now = max(loopback.now, time.Since(loopback.startedAt))
			f()
		case <-time.After(next - now):
		}
	}
}

// post has the world's goroutine run a function.
func (loopback *Loopback) post(f func()) {
	loopback.mu.Lock()
	closed := loopback.closed
	loopback.mu.Unlock()
	if !closed {
		loopback.injected <- f
	}
}

// postAndWait is do, and waits for it.
func (loopback *Loopback) postAndWait(f func()) {
	done := make(chan struct{})
	loopback.post(func() { f(); close(done) })
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
}

// Close ends all controllers and servers.
func (loopback *Loopback) Close() {
	loopback.mu.Lock()
	loopback.closed = true
	loopback.mu.Unlock()
	for i, proc := range loopback.processes {
		loopback.signal(i, syscall.SIGKILL)
		for _, link := range proc.peerProxies {
			link.listener.Close()
		}
		for _, link := range []*proxy{proc.frontProxy, proc.stateProxy, proc.cloudProxy} {
			link.listener.Close()
		}
		proc.logFile.Close()
	}
	for _, s := range loopback.servers {
		s.Close()
	}
	for {
		select {
		case <-loopback.injected: // those who wait give up by themselves
		default:
			return
		}
	}
}

// serve starts a server on a port of its own and gives its address.
func (loopback *Loopback) serve(h http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &http.Server{Handler: h}
	loopback.mu.Lock()
	loopback.servers = append(loopback.servers, s)
	loopback.mu.Unlock()
	go func() { _ = s.Serve(listener) }()
	return listener.Addr().String()
}

// sendRequest carries a worker's or user's request to a controller; no answer is status 0.
func (loopback *Loopback) sendRequest(ctrl *controller, in core.Input, reply func(core.Reply)) {
	var req *http.Request
	base := "http://" + loopback.processes[ctrl.index].frontProxy.address()
	switch x := in.(type) {
	case core.WorkerReported:
		raw, err := wire.Encode(x.Heartbeat)
		must(err)
		req, _ = http.NewRequest(http.MethodPost, base+"/v1/report", bytes.NewReader(raw))
	case core.UserRequest:
		switch x.Kind {
		case wire.RequestSubmit:
			req, _ = http.NewRequest(http.MethodPost, base+"/api/jobs", bytes.NewReader(x.Body))
		case wire.RequestStatus:
			req, _ = http.NewRequest(http.MethodGet, base+"/api/jobs/"+x.JobID, nil)
		case wire.RequestCancel:
			req, _ = http.NewRequest(http.MethodPost, base+"/api/jobs/"+x.JobID+"/withdraw", nil)
		}
	}
	go func() {
		r := core.Reply{}
		if resp, err := loopback.client.Do(req); err == nil {
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil {
				r = decodeReply(in, resp.StatusCode, body)
			}
		}
		loopback.post(func() { reply(r) })
	}()
}

// decodeReply reads an answer as the models expect it.
func decodeReply(in core.Input, status int, body []byte) core.Reply {
	reply := core.Reply{Status: status, Body: body}
	if _, report := in.(core.WorkerReported); !report {
		return reply
	}
	var err error
	switch status {
	case http.StatusOK:
		var answer wire.HeartbeatReply
		err = wire.Decode(body, &answer)
		reply.Body = answer
	case http.StatusMisdirectedRequest:
		var answer wire.Redirect
		err = wire.Decode(body, &answer)
		reply.Body = answer
	}
	if err != nil {
		return core.Reply{}
	}
	return reply
}

// serveWorker gives a worker an address of its own, at which it takes orders.
func (loopback *Loopback) serveWorker(worker *simWorker) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		var orders wire.CommandBatch
		if err != nil || wire.Decode(body, &orders) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		result := make(chan core.Outcome, 1)
		loopback.post(func() { worker.acceptCommands(orders, nil, func(outcome core.Outcome) { result <- outcome }) })
		select {
		case outcome := <-result:
			if outcome != core.OK {
				w.WriteHeader(http.StatusConflict)
			}
		case <-time.After(4 * time.Second):
		}
	})
	return loopback.serve(mux)
}

// Logs tells the end of each controller's log, for a failed test.
func (loopback *Loopback) Logs(bytes int64) string {
	var out string
	for i, proc := range loopback.processes {
		raw, _ := os.ReadFile(proc.logFile.Name())
		out += fmt.Sprintf("--- %s\n%s\n", loopback.controllers[i].label, raw[max(0, int64(len(raw))-bytes):])
	}
	return out
}
