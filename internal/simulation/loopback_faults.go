package simulation

import (
	"syscall"
	"time"
)

// Kill kills a controller's process with SIGKILL and restarts it after d.
func (l *Loopback) Kill(ctrl *controller, d time.Duration) {
	if !ctrl.running {
		return
	}
	ctrl.crash(d)
	l.signal(ctrl, syscall.SIGKILL)
}

// Stop pauses a controller's process with SIGSTOP and resumes it after d.
func (l *Loopback) Stop(ctrl *controller, d time.Duration) {
	if !ctrl.beginFailure(d) {
		return
	}
	incarnation := ctrl.incarnation
	l.signal(ctrl, syscall.SIGSTOP)
	l.after(d, func() {
		if ctrl.isRunning(incarnation) {
			l.signal(ctrl, syscall.SIGCONT)
		}
	})
}

// Isolate sets the states of a controller's links for d: with fromState those of its link to
// the state service, otherwise those of all links between the controller and its peers. Forward
// and backward are the two directions of each link.
func (l *Loopback) Isolate(ctrl *controller, fromState bool, forward, backward linkState, d time.Duration) {
	l.rules.extendFaultPeriod(d)
	proc := l.processes[ctrl.index]
	var links []*proxy
	if fromState {
		links = append(links, proc.stateProxy)
	} else {
		for i, peer := range l.processes {
			if i != ctrl.index {
				links = append(links, proc.peerProxies[i], peer.peerProxies[ctrl.index])
			}
		}
	}
	for _, link := range links {
		link.setStates(forward, backward)
	}
	l.after(d, func() {
		for _, link := range links {
			link.setStates(linkUp, linkUp)
		}
	})
}

// signal sends a signal to a controller's process, if it was started.
func (l *Loopback) signal(ctrl *controller, signal syscall.Signal) {
	if command := l.processes[ctrl.index].command; command != nil && command.Process != nil {
		_ = command.Process.Signal(signal) // the process may have ended
	}
}
