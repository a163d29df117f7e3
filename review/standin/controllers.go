//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Site describes a deployment.
type Site struct {
	Zones       []string
	NodeZones   []string // a zone for each controller
	Teams       []Map
	Times       Times
	State       StateLimits
	Next        *StateLimits // limits of the state service to come, state.next; nil: none
	CloudRPS    float64
	ListLag     time.Duration
	MachineType MachineType
	CoreShare   float64
	MemMB       float64
	FDLimit     int
	Restart     time.Duration // from the end of a controller to its return
}

// Deployment is a running site: controllers as processes, the rest as stand-ins.
type Deployment struct {
	Site   Site
	Record *Record
	State  *StateService
	Cloud  *Cloud
	Fleet  *Fleet
	Nodes  []*Node
	Links  map[[2]int]*Proxy // from a controller to its peer, by their indices
	Client *http.Client      // for users
	dir    string
	run    []string
}

// Node is a controller.
type Node struct {
	Label, Address string

	mu       sync.Mutex
	command  *exec.Cmd
	meant    bool // it is meant to run
	Ended    []string
	restarts int
}

// Start starts a site. Close must be called whether or not it fails.
func Start(site Site, record *Record) (*Deployment, error) {
	d := &Deployment{Site: site, Record: record, Links: map[[2]int]*Proxy{}, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return d, err
	}
	if d.run, err = runLine("deploy/service.toml"); err != nil {
		return d, err
	}
	var stateAddresses []string
	if d.State, stateAddresses, err = NewStateService(site.State, len(site.NodeZones)); err != nil {
		return d, err
	}
	cloudAddress := ""
	if d.Cloud, cloudAddress, err = NewCloud(site.MachineType, site.CloudRPS, site.ListLag, record); err != nil {
		return d, err
	}
	labels, public, peer := []string{}, map[string]string{}, map[string]string{}
	for i := range site.NodeZones {
		label := fmt.Sprintf("stanok-%d", i)
		labels = append(labels, label)
		if public[label], err = freeAddress(); err != nil {
			return d, err
		}
		if peer[label], err = freeAddress(); err != nil {
			return d, err
		}
		d.Nodes = append(d.Nodes, &Node{Label: label, Address: public[label]})
	}
	d.Fleet = NewFleet(site.Times, site.MachineType, labels, public, record)
	d.Cloud.Boot = d.Fleet.Boot
	for i, label := range labels {
		peers := []any{}
		for k, other := range labels {
			if k != i {
				link, err := NewProxy(peer[other])
				if err != nil {
					return d, err
				}
				d.Links[[2]int{i, k}] = link
				peers = append(peers, Map{"label": other, "site": site.NodeZones[k], "address": link.Address()})
			}
		}
		settings := Map{
			"label": label, "site": site.NodeZones[i], "bind": public[label], "cluster_listen": peer[label], "peers": peers,
			"external": Map{"cloud": cloudAddress, "state": stateAddresses[i]},
			"deployment": Map{
				"size": len(labels), "zones": site.Zones, "teams": site.Teams, "objectives": []any{},
				"workers": Map{"report_s": site.Times.Report.Seconds(), "lease_s": site.Times.Lease.Seconds(),
					"gang_wait_s": site.Times.GangWait.Seconds(), "gang_peer_s": site.Times.GangPeer.Seconds(), "cancel_s": site.Times.Cancel.Seconds()},
				"state":          Map{"rps": site.State.RPS, "write_rps": site.State.WriteRPS, "value_kb": site.State.ValueKB, "txn_ops": site.State.TxnOps},
				"cloud":          Map{"rps": site.CloudRPS, "list_lag_s": site.ListLag.Seconds()},
				"limits":         Map{"core_share": site.CoreShare, "mem_mb": site.MemMB, "fd_limit": site.FDLimit},
				"clock_error_ms": 1000.0,
			},
		}
		if next := site.Next; next != nil {
			settings["deployment"].(Map)["state"].(Map)["next"] = Map{"rps": next.RPS, "write_rps": next.WriteRPS, "value_kb": next.ValueKB, "txn_ops": next.TxnOps}
		}
		raw, err := json.MarshalIndent(settings, "", " ")
		if err != nil {
			return d, err
		}
		if err := os.WriteFile(filepath.Join(d.dir, label+".json"), raw, 0o600); err != nil {
			return d, err
		}
	}
	for _, node := range d.Nodes {
		if err := d.launch(node); err != nil {
			return d, err
		}
	}
	return d, nil
}

// runLine returns the command of the deploy file.
func runLine(path string) ([]string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if found == nil {
		return nil, fmt.Errorf("%s has no run line", path)
	}
	return strings.Fields(string(found[1])), nil
}

// freeAddress returns an address with a free port, on a loopback IP address that only the
// controllers of this run use: no stand-in and no other run takes a port while a controller is away.
func freeAddress() (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 1+(pid>>8)%250, pid%256))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// launch starts a controller's process.
func (d *Deployment) launch(node *Node) error {
	args := append(append([]string{}, d.run[1:]...), filepath.Join(d.dir, node.Label+".json"))
	log, err := os.OpenFile(filepath.Join(d.dir, node.Label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(d.run[0], args...)
	command.Stderr = log
	command.Env = append(os.Environ(), "LOG_LEVEL=info")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	node.mu.Lock()
	defer node.mu.Unlock()
	if err := command.Start(); err != nil {
		log.Close()
		return err
	}
	node.command, node.meant = command, true
	d.Record.Logf("%s starts: %s", node.Label, strings.Join(d.run, " "))
	go func() { // ends with the process
		err := command.Wait()
		log.Close()
		node.mu.Lock()
		byItself := node.meant && node.command == command
		if byItself {
			node.Ended = append(node.Ended, fmt.Sprint(err))
		}
		node.mu.Unlock()
		if byItself {
			d.Record.Logf("%s ended by itself: %v; its log ends: %s", node.Label, err, d.lastLog(node))
			time.AfterFunc(d.Site.Restart, func() { d.relaunch(node) })
		}
	}()
	return nil
}

// relaunch starts a controller again if it is meant to run.
func (d *Deployment) relaunch(node *Node) {
	node.mu.Lock()
	meant := node.meant
	node.mu.Unlock()
	if meant {
		if err := d.launch(node); err != nil {
			d.Record.Logf("%s can't start: %v", node.Label, err)
		}
	}
}

// lastLog returns the first line of the fatal error in a controller's log, or its last line.
func (d *Deployment) lastLog(node *Node) string {
	raw, err := os.ReadFile(filepath.Join(d.dir, node.Label+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.HasPrefix(lines[i], "fatal error:") || strings.HasPrefix(lines[i], "panic:") || strings.HasPrefix(lines[i], "runtime:") {
			return lines[i]
		}
	}
	return lines[len(lines)-1]
}

// LogTail returns the last lines of a controller's log.
func (d *Deployment) LogTail(node *Node, count int) string {
	raw, _ := os.ReadFile(filepath.Join(d.dir, node.Label+".log"))
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// Kill kills a controller's process and starts it again after a time; 0: never.
func (d *Deployment) Kill(node *Node, back time.Duration) {
	node.mu.Lock()
	node.meant = false
	command := node.command
	node.mu.Unlock()
	d.Record.Logf("%s is killed", node.Label)
	_ = command.Process.Kill() // it may have ended
	if back > 0 {
		time.AfterFunc(back, func() {
			if err := d.launch(node); err != nil {
				d.Record.Logf("%s can't start: %v", node.Label, err)
			}
		})
	}
}

// Signal sends a signal to a controller's process.
func (d *Deployment) Signal(node *Node, signal syscall.Signal) {
	node.mu.Lock()
	defer node.mu.Unlock()
	d.Record.Logf("%s gets signal %v", node.Label, signal)
	_ = node.command.Process.Signal(signal) // it may have ended
}

// EndedByItself returns the ends of a controller that nobody caused.
func (n *Node) EndedByItself() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string{}, n.Ended...)
}

// CPU returns the processor time that a controller's process has used, in seconds.
func (n *Node) CPU() float64 {
	n.mu.Lock()
	command := n.command
	n.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	var user, system float64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	const ticksPerSecond = 100
	return (user + system) / ticksPerSecond
}

// Close ends all processes and removes the temporary folder.
func (d *Deployment) Close() {
	for _, node := range d.Nodes {
		node.mu.Lock()
		node.meant = false
		if node.command != nil && node.command.Process != nil {
			_ = node.command.Process.Kill() // it may have ended
		}
		node.mu.Unlock()
	}
	for _, link := range d.Links {
		link.Close()
	}
	if d.State != nil {
		d.State.Close()
	}
	if d.Cloud != nil {
		d.Cloud.Close()
	}
	time.Sleep(200 * time.Millisecond)
	os.RemoveAll(d.dir)
}

// LimitMemory acts as the platform: it kills a controller whose process exceeds the memory of its
// settings, and starts it again, until stop is closed.
func (d *Deployment) LimitMemory(node *Node, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		node.mu.Lock()
		command, meant := node.command, node.meant
		node.mu.Unlock()
		if !meant {
			continue
		}
		if mb := residentMB(command.Process.Pid); mb > d.Site.MemMB {
			node.mu.Lock()
			node.Ended = append(node.Ended, fmt.Sprintf("killed by the platform: %.0f MB of %.0f", mb, d.Site.MemMB))
			node.mu.Unlock()
			d.Record.Logf("%s holds %.0f MB, more than its %.0f", node.Label, mb, d.Site.MemMB)
			d.Kill(node, d.Site.Restart)
		}
	}
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident float64
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize()) / (1 << 20)
}
