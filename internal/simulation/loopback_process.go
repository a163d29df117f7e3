package simulation

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"micaport/internal/config"
)

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

// Logs tells the end of each controller's log, for a failed test.
func (loopback *Loopback) Logs(bytes int64) string {
	var out string
	for i, proc := range loopback.processes {
		raw, _ := os.ReadFile(proc.logFile.Name())
		out += fmt.Sprintf("--- %s\n%s\n", loopback.controllers[i].label, raw[max(0, int64(len(raw))-bytes):])
	}
	return out
}
