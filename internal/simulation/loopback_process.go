package simulation

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"micaport/internal/config"
)

// process is a controller's process with its addresses and links.
type process struct {
	command       *exec.Cmd // nil: not started yet
	settingsPath  string
	logFile       *os.File
	publicAddress string
	peerAddress   string
	frontProxy    *proxy         // from workers and users to the controller
	stateProxy    *proxy         // from the controller to the state service
	cloudProxy    *proxy         // from the controller to the cloud
	peerProxies   map[int]*proxy // from the controller to its peers, by their index
}

// reserveAddresses finds two free ports for a controller, on a loopback IP address that only
// this controller uses. All other listeners are on 127.0.0.1, so that none can take a port
// while the controller is down. Simulations with other seeds use other IP addresses.
func reserveAddresses(seed uint64, index int) (*process, error) {
	proc := &process{peerProxies: map[int]*proxy{}}
	for _, address := range []*string{&proc.publicAddress, &proc.peerAddress} {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 1+seed%250, index+1))
		if err != nil {
			return nil, err
		}
		defer listener.Close() // keeps the first port taken while the second is found
		*address = listener.Addr().String()
	}
	return proc, nil
}

// setUpProcess creates the services and links of a controller, its log file and its settings
// file.
func (l *Loopback) setUpProcess(ctrl *controller) error {
	proc := l.processes[ctrl.index]
	state, err := l.serve(l.stateHandler(ctrl))
	if err != nil {
		return err
	}
	cloud, err := l.serve(l.cloudHandler(ctrl))
	if err != nil {
		return err
	}
	if proc.frontProxy, err = newProxy(proc.publicAddress); err != nil {
		return err
	}
	if proc.stateProxy, err = newProxy(state); err != nil {
		return err
	}
	if proc.cloudProxy, err = newProxy(cloud); err != nil {
		return err
	}
	for i, peer := range l.processes {
		if i == ctrl.index {
			continue
		}
		if proc.peerProxies[i], err = newProxy(peer.peerAddress); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(l.settings(ctrl))
	if err != nil {
		return err
	}
	proc.settingsPath = filepath.Join(l.dir, ctrl.label+".json")
	if proc.logFile, err = os.Create(filepath.Join(l.dir, ctrl.label+".log")); err != nil {
		return err
	}
	return os.WriteFile(proc.settingsPath, raw, 0o600)
}

// close closes the links and the log of a process.
func (p *process) close() {
	links := []*proxy{p.frontProxy, p.stateProxy, p.cloudProxy}
	for _, link := range p.peerProxies {
		links = append(links, link)
	}
	for _, link := range links {
		if link != nil {
			link.close()
		}
	}
	if p.logFile != nil {
		p.logFile.Close()
	}
}

// settings returns the settings of a controller's process, as the platform provides them.
func (l *Loopback) settings(ctrl *controller) *config.Settings {
	proc, sim := l.processes[ctrl.index], l.Simulation
	s := &config.Settings{Label: ctrl.label, Zone: ctrl.zone, Bind: proc.publicAddress, ClusterBind: proc.peerAddress}
	s.External.State, s.External.Cloud = proc.stateProxy.address(), proc.cloudProxy.address()
	for i, peer := range sim.controllers {
		if i != ctrl.index {
			s.Peers = append(s.Peers, config.Peer{Label: peer.label, Zone: peer.zone, Address: proc.peerProxies[i].address()})
		}
	}
	d := &s.Deployment
	d.Zones = sim.Zones
	for _, t := range sim.Teams {
		d.Teams = append(d.Teams, config.Team{
			Name:            t.Name,
			GuaranteedCores: t.GuaranteedCores,
			MaxCores:        t.MaxCores,
			GuaranteedGPUs:  t.GuaranteedGPUs,
			MaxGPUs:         t.MaxGPUs,
		})
	}
	d.Workers.ReportS = sim.HeartbeatInterval.Seconds()
	d.Workers.LeaseS = sim.WorkerLease.Seconds()
	d.Workers.CancelS = sim.CancelDeadline.Seconds()
	d.Workers.GangWaitS, d.Workers.GangPeerS = sim.GangWait.Seconds(), sim.GangPeerTimeout.Seconds()
	d.State.RPS, d.State.WriteRPS = stateRPS, sim.WriteRPS
	d.State.ValueKB, d.State.TxnOps = float64(sim.MaxValueBytes)/1024, sim.MaxTransactionOps
	d.Cloud.RPS, d.Cloud.ListLagS = cloudRPS, 4
	d.Limits.CoreShare = 1
	return s
}

// Requests per second that the services on loopback accept, as given in the controllers'
// settings.
const (
	stateRPS = 2000
	cloudRPS = 20
)

// startProcess starts a controller's process unless Close was called. A process that ends
// while its controller should be running is a violation.
func (l *Loopback) startProcess(ctrl *controller) {
	if l.ctx.Err() != nil {
		return
	}
	proc := l.processes[ctrl.index]
	args := []string{"--config", proc.settingsPath}
	if l.operatorFile != "" {
		args = append(args, "--operator", l.operatorFile)
	}
	command := exec.Command(l.binary, args...)
	command.Stderr = proc.logFile
	proc.command = command
	if err := command.Start(); err != nil {
		l.rules.reportViolation("start", "%s: %v", ctrl.label, err)
		return
	}
	incarnation := ctrl.incarnation
	go func() { // ends with the process, at the latest by Close
		err := command.Wait()
		l.post(func() {
			if ctrl.isRunning(incarnation) {
				l.rules.reportViolation("ended_by_itself", "%s: %v", ctrl.label, err)
			}
		})
	}()
}

// Logs returns the last bytes of each controller's log, for the output of a failed test.
func (l *Loopback) Logs(bytes int64) string {
	var logs strings.Builder
	for i, proc := range l.processes {
		raw, err := os.ReadFile(proc.logFile.Name())
		if err != nil {
			raw = []byte(err.Error())
		}
		fmt.Fprintf(&logs, "--- %s\n%s\n", l.controllers[i].label, raw[max(0, int64(len(raw))-bytes):])
	}
	return logs.String()
}
