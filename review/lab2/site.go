//go:build review

package lab2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Spec is a submission.
type Spec struct {
	Ref            string   `msgpack:"ref"`
	JobClass       string   `msgpack:"job_class"`
	Studio         string   `msgpack:"studio"`
	Shape          string   `msgpack:"shape"`
	Urgency        string   `msgpack:"urgency"`
	Frames         int      `msgpack:"frames"`
	Cores          float64  `msgpack:"cores"`
	Cards          float64  `msgpack:"cards"`
	MemoryGB       float64  `msgpack:"memory_gb"`
	Toolkit        string   `msgpack:"toolkit"`
	SizeGB         float64  `msgpack:"size_gb"`
	Rigs           []string `msgpack:"rigs"`
	Hall           *string  `msgpack:"hall"`
	SamePlace      bool     `msgpack:"same_place"`
	Spread         bool     `msgpack:"spread"`
	Loaner         bool     `msgpack:"loaner"`
	ExpectedS      float64  `msgpack:"expected_s"`
	SnapshotEveryS float64  `msgpack:"snapshot_every_s"`
	SnapshotS      float64  `msgpack:"snapshot_s"`
	DueS           *float64 `msgpack:"due_s"`
}

// Node is a controller: its process with its addresses.
type Node struct {
	Label, Zone, Bind, Cluster string
	Settings                   string // path of the settings file
	log                        *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	killed  bool
	Ends    int // times that the process ended by itself
}

// Options are the settings of a site.
type Options struct {
	Zones    []string // of the controllers, in their order
	Teams    []map[string]any
	Workers  WorkerTimes
	State    StateLimits
	Next     map[string]any // state.next in the settings; nil: none
	CloudRPS float64
	ListLagS float64
	Flavors  []Flavor
	Limits   map[string]any
	// PeerAddress returns the address in the settings of controller from for controller to, given
	// the address at which that one listens; nil: that address itself.
	PeerAddress func(from, to int, address string) string
}

// Site is a deployment.
type Site struct {
	Options
	Rec   *Recorder
	State *State
	Cloud *Cloud
	Jobs  *Jobs
	Nodes []*Node
	dir   string
	run   []string
	user  *http.Client
}

// Farm returns the options of the deployment of AERA's site file, with one flavor.
func Farm() Options {
	team := func(name string, gpus, most float64) map[string]any {
		return map[string]any{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": most}
	}
	return Options{
		Zones:   []string{"bandung", "surabaya", "bandung"},
		Teams:   []map[string]any{team("candi", 8, 16), team("rumah-hijau", 16, 30), team("menara", 10, 30), team("pesisir", 16, 40), team("kota-lama", 16, 48), team("secretariat", 16, 32)},
		Workers: WorkerTimes{ReportS: 3, LeaseS: 30, GangWaitS: 35, GangPeerS: 8, CancelS: 55},
		State:   StateLimits{RPS: 250, WriteRPS: 20, ValueKB: 8, TxnOps: 12}, CloudRPS: 2, ListLagS: 4,
		Flavors: []Flavor{{SKU: "rendernode", Cores: 24, Cards: 2, MemoryGB: 96, LocalGB: 120, PullGBs: 0.3, Hourly: 6.27, SpotPrice: 1.5, BootS: 45, Halls: []string{"bandung", "surabaya"}}},
		Limits:  map[string]any{"core_share": 0.096, "mem_mb": 125.0, "fd_limit": 1200},
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// RunLine returns the run line of the deploy file of the version in a folder, with the program's path.
func RunLine(folder string) ([]string, error) {
	deploy, err := os.ReadFile(filepath.Join(folder, "deploy/service.toml"))
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		return nil, fmt.Errorf("the deploy file in %s has no run line", folder)
	}
	run := strings.Fields(string(match[1]))
	run[0] = filepath.Join(folder, run[0])
	_, err = os.Stat(run[0])
	return run, err
}

// NewSite starts the stand-ins and writes the settings; Start starts the controllers.
func NewSite(options Options, recordPath string) (*Site, error) {
	run, err := RunLine(".")
	if err != nil {
		return nil, err
	}
	s := &Site{Options: options, run: run, user: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if s.Rec, err = NewRecorder(recordPath); err != nil {
		return nil, err
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	s.watch()
	s.Jobs = NewJobs(s.Rec)
	if s.State, err = NewState(options.State, len(options.Zones), s.Rec); err != nil {
		return nil, err
	}
	if s.Cloud, err = NewCloud(options.Flavors, options.CloudRPS, time.Duration(options.ListLagS*float64(time.Second)), s.Rec, s.startWorker); err != nil {
		return nil, err
	}
	for i, zone := range options.Zones {
		node := &Node{Label: fmt.Sprintf("stanok-%d", i), Zone: zone}
		for _, address := range []*string{&node.Bind, &node.Cluster} {
			// An address of its own, as the port is free while the process is down.
			listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()%200, 1+os.Getpid()/200%250, i+1))
			if err != nil {
				return nil, err
			}
			defer listener.Close()
			*address = listener.Addr().String()
		}
		s.Nodes = append(s.Nodes, node)
	}
	for i, node := range s.Nodes {
		if err := s.writeSettings(i, node); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// longestRun is how long a test may run.
const longestRun = 119 * time.Second

// watch ends the test with all that it has started when it takes too long or gets a signal.
func (s *Site) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-time.After(longestRun):
			s.Fail("it took too long")
		case got := <-signals:
			s.Fail("signal " + got.String())
		}
	}()
}

func (s *Site) writeSettings(index int, node *Node) error {
	peers := []object{}
	for i, peer := range s.Nodes {
		if i == index {
			continue
		}
		address := peer.Cluster
		if s.PeerAddress != nil {
			address = s.PeerAddress(index, i, address)
		}
		peers = append(peers, object{"label": peer.Label, "site": peer.Zone, "address": address})
	}
	seen, zones := map[string]bool{}, []string{}
	for _, zone := range s.Zones {
		if !seen[zone] {
			seen[zone] = true
			zones = append(zones, zone)
		}
	}
	state := object{"rps": s.Options.State.RPS, "write_rps": s.Options.State.WriteRPS, "value_kb": s.Options.State.ValueKB, "txn_ops": s.Options.State.TxnOps}
	if s.Next != nil {
		state["next"] = s.Next
	}
	w := s.Workers
	raw, err := json.MarshalIndent(object{
		"label": node.Label, "site": node.Zone, "bind": node.Bind, "cluster_listen": node.Cluster, "peers": peers,
		"external": object{"cloud": s.Cloud.Address(), "state": s.State.Address(index)},
		"deployment": object{
			"size": len(s.Nodes), "zones": zones, "teams": s.Teams, "objectives": []object{},
			"workers": object{"report_s": w.ReportS, "lease_s": w.LeaseS, "gang_wait_s": w.GangWaitS, "gang_peer_s": w.GangPeerS, "cancel_s": w.CancelS},
			"state":   state, "cloud": object{"rps": s.CloudRPS, "list_lag_s": s.ListLagS}, "limits": s.Limits, "clock_error_ms": 1000.0,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	node.Settings = filepath.Join(s.dir, node.Label+".json")
	if node.log, err = os.Create(filepath.Join(s.dir, node.Label+".log")); err != nil {
		return err
	}
	return os.WriteFile(node.Settings, raw, 0o600)
}

func (s *Site) startWorker(m *Machine) {
	var labels []string
	address := map[string]string{}
	for _, node := range s.Nodes {
		labels = append(labels, node.Label)
		address[node.Label] = node.Bind
	}
	worker, err := StartWorker(m, s.Jobs, s.Workers, labels, address, s.Rec)
	if err != nil {
		s.Rec.Log("worker_failed", "host", m.Name, "error", err.Error())
		return
	}
	s.Cloud.mu.Lock()
	m.Worker = worker
	s.Cloud.mu.Unlock()
}

// Start starts a controller's process.
func (s *Site) Start(index int) error { return s.StartVersion(index, s.run) }

// StartVersion starts a controller's process with the run line of some version.
func (s *Site) StartVersion(index int, run []string) error {
	node := s.Nodes[index]
	node.mu.Lock()
	defer node.mu.Unlock()
	command := exec.Command(run[0], append(append([]string{}, run[1:]...), node.Settings)...)
	command.Stderr = node.log
	command.Env = append(os.Environ(), "LOG_LEVEL="+LogLevel)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the test
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	node.command, node.ended, node.killed = command, ended, false
	s.Rec.Log("controller_started", "label", node.Label, "pid", command.Process.Pid)
	go func() {
		err := command.Wait()
		node.mu.Lock()
		defer node.mu.Unlock()
		if !node.killed || node.command != command {
			node.Ends++
			s.Rec.Log("controller_ended_by_itself", "label", node.Label, "error", fmt.Sprint(err))
		}
		close(ended)
	}()
	return nil
}

// StartAll starts all controllers.
func (s *Site) StartAll() error {
	for i := range s.Nodes {
		if err := s.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// Kill ends a controller's process.
func (s *Site) Kill(index int) {
	node := s.Nodes[index]
	node.mu.Lock()
	if node.command == nil {
		node.mu.Unlock()
		return
	}
	node.killed = true
	ended := node.ended
	_ = node.command.Process.Signal(syscall.SIGCONT)
	_ = node.command.Process.Kill()
	node.mu.Unlock()
	<-ended
	s.Rec.Log("controller_killed", "label", node.Label)
}

// Signal sends a signal to a controller's process.
func (s *Site) Signal(index int, number syscall.Signal) {
	node := s.Nodes[index]
	node.mu.Lock()
	defer node.mu.Unlock()
	_ = node.command.Process.Signal(number)
	s.Rec.Log("signal", "label", node.Label, "signal", number.String())
}

// Log returns a controller's log.
func (s *Site) Log(index int) string {
	raw, _ := os.ReadFile(s.Nodes[index].log.Name())
	return string(raw)
}

// Close ends all controllers and removes the folder with their settings. KEEP_LOGS names a folder
// that gets the logs.
func (s *Site) Close() {
	for i := range s.Nodes {
		s.Kill(i)
		s.Nodes[i].log.Close()
	}
	if s.Cloud != nil {
		for _, m := range s.Cloud.Machines() {
			if m.Worker != nil {
				m.Worker.Terminate()
			}
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, node := range s.Nodes {
			raw, _ := os.ReadFile(node.log.Name())
			_ = os.WriteFile(filepath.Join(keep, node.Label+".log"), raw, 0o600)
		}
	}
	os.RemoveAll(s.dir)
	s.Rec.Close()
}

// Call sends a request to a controller and returns the status and the body; status 0: no answer.
func (s *Site) Call(index int, method, path string, body any, timeout time.Duration) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		raw, err := msgpack.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.Nodes[index].Bind+path, reader)
	if err != nil {
		return 0, nil
	}
	response, err := s.user.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	answer := map[string]any{}
	_ = msgpack.Unmarshal(raw, &answer)
	return response.StatusCode, answer
}

// SubmitOnce sends a submission to one controller.
func (s *Site) SubmitOnce(index int, spec Spec) (int, map[string]any) {
	status, answer := s.Call(index, http.MethodPost, "/api/jobs", spec, 5*time.Second)
	s.Rec.Log("submit", "job", spec.Ref, "node", s.Nodes[index].Label, "status", status, "answer", answer)
	return status, answer
}

// Submit sends a submission as a user does: to one controller after the other until it is answered
// for good, for up to a minute. It returns the last status.
func (s *Site) Submit(first int, spec Spec) int {
	for index, until := first, time.Now().Add(time.Minute); ; index++ {
		status, _ := s.SubmitOnce(index%len(s.Nodes), spec)
		switch status {
		case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return status
		}
		if time.Now().After(until) {
			return status
		}
		time.Sleep(time.Second)
	}
}

// Poll asks a controller for a job's status.
func (s *Site) Poll(index int, ref string) (int, map[string]any) {
	status, answer := s.Call(index, http.MethodGet, "/api/jobs/"+ref, nil, 2*time.Second)
	s.Rec.Log("poll", "job", ref, "node", s.Nodes[index].Label, "status", status, "answer", answer)
	return status, answer
}

// Withdraw asks a controller to cancel a job.
func (s *Site) Withdraw(index int, ref string) (int, map[string]any) {
	status, answer := s.Call(index, http.MethodPost, "/api/jobs/"+ref+"/withdraw", nil, 5*time.Second)
	s.Rec.Log("withdraw", "job", ref, "node", s.Nodes[index].Label, "status", status, "answer", answer)
	return status, answer
}

// Leader returns the index of the controller that the state service holds as the leader, or -1.
func (s *Site) Leader() int {
	record, _ := s.State.Value("m/leader").(map[string]any)
	for _, value := range record {
		for i, node := range s.Nodes {
			if value == node.Label {
				return i
			}
		}
	}
	return -1
}

// LogLevel is the level at which the controllers log.
var LogLevel = "info"

// Trouble reports whether the test runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit prints the verdict and ends the test: 1 if the rule was broken, 0 if it held.
func (s *Site) Exit(broken bool, verdict string) {
	s.Rec.Log("verdict", "broken", broken, "text", verdict)
	s.Close()
	fmt.Println(verdict)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// Fail ends the test, as it could not run.
func (s *Site) Fail(reason string) {
	if s != nil {
		s.Rec.Log("could_not_run", "reason", reason)
		s.Close()
	}
	fmt.Println("could not run:", reason)
	os.Exit(2)
}
