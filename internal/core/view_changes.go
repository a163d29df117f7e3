package core

import (
	"slices"
	"sort"

	"micaport/internal/wire"
)

// viewChange is an entry of the change log. It is obsolete once the machine has a later one.
type viewChange struct {
	version uint64
	machine int
}

// viewLog is the change log of the views of this controller's machines. Each change has a version;
// a peer that has received all changes up to a version needs only the later ones.
type viewLog struct {
	version uint64       // of the last change
	changes []viewChange // in order of version
}

// minChangeLogLength is the number of entries that the change log may have, in addition to two for
// each machine, before the obsolete ones are removed.
const minChangeLogLength = 64

// recordViewChange adds an entry to the change log for a machine of this controller.
func (n *Node) recordViewChange(machine *machine) {
	log := &n.views
	log.version++
	machine.viewVersion = log.version
	log.changes = append(log.changes, viewChange{log.version, machine.index})
	if len(log.changes) > 2*len(n.machines)+minChangeLogLength {
		log.changes = slices.DeleteFunc(log.changes, func(c viewChange) bool { return n.machines[c.machine].viewVersion != c.version })
	}
}

// changesAfter returns the changes after a version.
func (l *viewLog) changesAfter(base uint64) []viewChange {
	return l.changes[sort.Search(len(l.changes), func(i int) bool { return l.changes[i].version > base }):]
}

// withViewChanges returns a copy of a message with the views of up to limit machines that changed
// after the version base. If more have changed, it includes the earliest changes, and the version
// of the message is the last one before the first change left out. A receiver that has all views up
// to base therefore has all views up to the version of the message, so that lost and repeated
// messages do no harm.
func (n *Node) withViewChanges(message wire.Gossip, base uint64, limit int) *wire.Gossip {
	message.Since, message.Ver = base, n.views.version
	var names wire.Interner
	for _, change := range n.views.changesAfter(base) {
		machine := n.machines[change.machine]
		n.examinedMachines++
		if machine.viewVersion != change.version || machine.shard < 0 ||
			!n.mayActAsOwner(n.shards[machine.shard]) ||
			!machine.view.reportedByOwner {
			continue
		}
		if len(message.Hosts) >= limit {
			message.Ver = change.version - 1
			break
		}
		message.Hosts = append(message.Hosts, n.encodeView(machine, &names))
	}
	for i := range names.Len() {
		message.Names = append(message.Names, names.Name(i))
	}
	return &message
}

// missedHeartbeatsShift is the position of the lowest bit of the number of missed heartbeats in the
// flags of wire.MachineInfo.
const missedHeartbeatsShift = 8

// encodeView encodes the view of a machine for a message; names collects the names that the
// message refers to by index.
func (s *site) encodeView(machine *machine, names *wire.Interner) wire.MachineInfo {
	view := &machine.view
	info := wire.MachineInfo{Name: machine.name, Zone: names.Intern(s.names.Zones.Name(machine.zone)), Errors: view.failedJobCount,
		Flags: wire.PackFlags(machine.spot, view.reclaimPending, view.draining, view.unhealthy, view.unreachable, view.unconfirmed) + view.missedHeartbeats<<missedHeartbeatsShift}
	if machine.machineType >= 0 {
		info.Rig = names.Intern(s.names.MachineTypes.Name(machine.machineType))
	}
	machine.images.Each(func(image int) { info.Images = append(info.Images, names.Intern(s.names.Images.Name(image))) })
	return info
}

// decodeView decodes the view of a machine in a message.
func decodeView(info *wire.MachineInfo) machineView {
	flags := info.Flags
	return machineView{reportedByOwner: true, reclaimPending: flags&wire.FlagReclaimed != 0, draining: flags&wire.FlagDraining != 0, unhealthy: flags&wire.FlagUnhealthy != 0,
		unreachable: flags&wire.FlagUnreachable != 0, unconfirmed: flags&wire.FlagUnconfirmed != 0, missedHeartbeats: flags >> missedHeartbeatsShift, failedJobCount: info.Errors}
}
