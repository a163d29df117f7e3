package core

// ownViewsInterval is the time between two updates of the views of this controller's machines
// while no heartbeat changes one.
const ownViewsInterval = second

// updateAndSendOwnViews updates the views of this controller's machines if an update is due. If a
// view has changed, the next gossip becomes due as soon as possible; otherwise a gossip that is due
// is sent.
func (n *Node) updateAndSendOwnViews() {
	if n.now < n.nextViewUpdateAt {
		return
	}
	n.nextViewUpdateAt = n.now + ownViewsInterval
	before := n.views.version
	n.updateOwnViews()
	n.sendOrExpediteGossip(n.views.version != before)
}

// updateOwnViews updates the views of the machines that this controller owns, and adds the changed
// ones to the change log.
func (n *Node) updateOwnViews() {
	for _, shard := range n.shards {
		if !n.mayActAsOwner(shard) {
			continue
		}
		othersReport := n.mostMachinesReport(shard)
		for _, machine := range shard.machines {
			n.examinedMachines++
			if machine.term != shard.Term {
				continue // the worker's state belongs to another term
			}
			if view := n.ownView(shard, machine, othersReport); view != machine.view || machine.viewTerm != shard.Term {
				n.setView(machine, view, shard.Term)
				n.recordViewChange(machine)
				n.leader.passNeeded = true
			}
		}
	}
}

// mostMachinesReport reports whether more than half of the machines of a shard have sent a
// heartbeat within two heartbeat intervals.
func (n *Node) mostMachinesReport(shard *shard) bool {
	reporting, all := 0, 0
	for _, machine := range shard.machines {
		if machine.term == shard.Term && !machine.deprovisioned {
			all++
			if n.now-machine.heartbeatAt < 2*n.cfg.HeartbeatInterval {
				reporting++
			}
		}
	}
	return 2*reporting > all
}

// ownView returns the current view of a machine that this controller owns. OthersReport is set if
// most machines of the shard report. It also clears machine.unhealthy if no failed job counts
// against the machine any more.
func (n *Node) ownView(shard *shard, machine *machine, othersReport bool) machineView {
	silence := n.now - machine.heartbeatAt
	failedJobs := n.failedJobCount(machine)
	machine.unhealthy = machine.unhealthy && failedJobs > 0 // the jobs may have been found to be at fault
	view := machineView{
		reportedByOwner: true, reclaimPending: machine.reclaimAt > 0, draining: machine.draining, unhealthy: machine.unhealthy,
		unconfirmed:    !machine.tokenConfirmed && !machine.newlyBooted,
		failedJobCount: failedJobs, imageCount: n.imageCount(machine),
	}
	switch {
	case silence > 3*n.cfg.HeartbeatInterval:
		view.missedHeartbeats = 2
	case silence > 2*n.cfg.HeartbeatInterval:
		view.missedHeartbeats = 1
	}
	// Machines could not report before this controller became the valid owner, so earlier silence
	// does not count. An unresponsive machine counts as lost: its tasks end with its lease.
	view.unreachable = machine.unresponsive || n.isUnreachable(machine, min(silence, n.now-shard.MayActSince), othersReport)
	return view
}

// setView stores the view of a machine that its owner has in a term, and records when the machine
// becomes unconfirmed.
func (s *site) setView(machine *machine, view machineView, term uint64) {
	if view.unconfirmed && (!machine.view.unconfirmed || machine.viewTerm != term) {
		machine.unconfirmedSince = s.now
	}
	machine.view, machine.viewTerm = view, term
}
