package core

import (
	"slices"

	"micaport/internal/indexset"
	"micaport/internal/wire"
)

// slot is a machine, present or hoped for, with the room left on it.
type slot struct {
	machine                          *machine // nil for a machine that is booting or not yet provisioned
	shard                            int      // -1 while unknown
	zone, machineType                int
	spot                             bool
	cores, gpus, memoryGB            float64
	typeInfo                         *wire.MachineType
	releasingCores                   float64 // freed by tasks that are on their way out
	releasingGPUs, releasingMemoryGB float64
	daemon                           bool // a daemon keeps the machine up anyway
	reserved                         bool // kept for a gang that still waits for more machines
	reservedFor                      int  // one more than the only job that it is for; 0: any
	images                           indexset.Set
	fetchGB                          float64 // being fetched: images share the rate
	errors                           int

	set      *slotSet
	class    slotClass
	listedIn []slotClass // the lists of the set that it stands in, perhaps out of date
}

// noteFetch notes that a task's image will be fetched here.
func (slot *slot) noteFetch(job *job) {
	if !slot.images.Has(job.Image) {
		slot.fetchGB += job.Record.Spec.ImageGB
	}
}

func (slot *slot) fits(spec *wire.JobSpec) bool {
	return !slot.reserved && spec.Cores <= slot.cores+epsilon && spec.GPUs <= slot.gpus+epsilon && spec.MemoryGB <= slot.memoryGB+epsilon
}

func (slot *slot) fitsAfterRelease(spec *wire.JobSpec) bool {
	return !slot.reserved && spec.Cores <= slot.cores+slot.releasingCores+epsilon && spec.GPUs <= slot.gpus+slot.releasingGPUs+epsilon && spec.MemoryGB <= slot.memoryGB+slot.releasingMemoryGB+epsilon
}

func (slot *slot) take(spec *wire.JobSpec) { slot.release(spec, -1) }

// release returns what k tasks have taken.
func (slot *slot) release(spec *wire.JobSpec, k int) {
	slot.cores += spec.Cores * float64(k)
	slot.gpus += spec.GPUs * float64(k)
	slot.memoryGB += spec.MemoryGB * float64(k)
	if slot.set != nil {
		slot.set.reclassify(slot)
	}
}

// isIdle tells whether nothing runs on the machine.
func (slot *slot) isIdle() bool {
	return slot.cores > slot.typeInfo.Cores-epsilon && slot.gpus > slot.typeInfo.GPUs-epsilon
}

// accepts tells whether a job's tasks may go to the machine at all. One that
// failed the job is not tried again before others have failed it too, and it
// is the job that is at fault.
func (slot *slot) accepts(job *job) bool {
	if slot.reservedFor > 0 && slot.reservedFor != job.Index+1 {
		return false
	}
	if slot.machine != nil && len(job.Record.FailedMachines) > 0 && len(job.Record.FailedMachines) < 3 && slices.Contains(job.Record.FailedMachines, slot.machine.name) {
		return false
	}
	return job.Allows(slot.machineType, slot.zone, slot.spot)
}

// slotOf is the room on a machine.
func (n *Node) slotOf(machine *machine) *slot {
	machineType := n.typeAt(machine.machineType)
	if machineType == nil {
		return nil
	}
	t := n.usageOf(machine)
	return &slot{machine: machine, shard: machine.shard, zone: machine.zone, machineType: machine.machineType, spot: machine.spot, typeInfo: machineType,
		cores: machineType.Cores - t.cores, gpus: machineType.GPUs - t.gpus, memoryGB: machineType.MemoryGB - t.memoryGB,
		releasingCores: t.releasingCores, releasingGPUs: t.releasingGPUs, releasingMemoryGB: t.releasingMemoryGB, daemon: t.daemon,
		images: machine.images, errors: machine.view.errors, fetchGB: n.pendingFetchGB(machine)}
}

// slotClass is what slots have in common for a choice among them.
type slotClass struct {
	shard, zone, machineType, gpus int
	spot, idle, daemon, faulty     bool
	noGPU                          bool // no GPU is free, not even part of one
}

func (slot *slot) classify() slotClass {
	return slotClass{shard: slot.shard, zone: slot.zone, machineType: slot.machineType, gpus: int(slot.gpus + epsilon), noGPU: slot.gpus <= epsilon, spot: slot.spot,
		idle: slot.isIdle(), daemon: slot.daemon, faulty: slot.errors > 0}
}

// slotSet holds slots with an index by place, kind, free room and image, so
// that a choice costs as much as what is free and alike, not as much as there
// are machines.
type slotSet struct {
	node       *Node
	all        []*slot
	releasing  []*slot // those with room about to be free
	open       map[slotClass]*[]*slot
	classOrder []slotClass
	byImage    map[imageList][]*slot
}

// imageList names a list of slots that have an image: those with a free GPU, or
// for tasks that need none, all that have room.
type imageList struct {
	image      int
	withoutGPU bool
}

func newSlotSet(n *Node) *slotSet {
	return &slotSet{node: n, open: map[slotClass]*[]*slot{}, byImage: map[imageList][]*slot{}}
}

func (set *slotSet) add(slot *slot) {
	slot.set = set
	set.all = append(set.all, slot)
	if slot.releasingCores > 0 || slot.releasingGPUs > 0 {
		set.releasing = append(set.releasing, slot)
	}
	slot.class = slot.classify()
	set.addToClass(slot)
}

// isFull tells whether there is nothing on the machine to be had, by a task that
// needs GPUs or by one that does not: what is left of a machine whose GPUs are all
// in use is of use to the latter. Before this such tasks kept to machines with free
// GPUs, which then neither went back nor had room for whole-machine work.
func (slot *slot) isFull(cardless bool) bool {
	return slot.cores <= epsilon || !cardless && slot.typeInfo.GPUs > 0 && slot.gpus <= epsilon
}

func (set *slotSet) addToClass(s *slot) {
	if s.isFull(true) || slices.Contains(s.listedIn, s.class) {
		return
	}
	s.listedIn = append(s.listedIn, s.class)
	l := set.open[s.class]
	if l == nil {
		l = new([]*slot)
		set.open[s.class] = l
		set.classOrder = append(set.classOrder, s.class)
	}
	*l = append(*l, s)
}

func (set *slotSet) reclassify(slot *slot) {
	class := slot.classify()
	if class != slot.class {
		slot.class = class
		set.addToClass(slot)
	}
}

// compareWithImage lists the slots with room that have an image or are fetching it.
func (set *slotSet) withImage(k imageList) []*slot {
	l, built := set.byImage[k]
	if !built {
		for _, slot := range set.all {
			if !slot.isFull(k.withoutGPU) && (slot.images.Has(k.image) || slot.machine != nil && set.node.usesImage(slot.machine, k.image)) {
				l = append(l, slot)
			}
		}
		set.byImage[k] = l
	}
	return l
}

// usesImage tells whether a task on the machine uses an image.
func (n *Node) usesImage(machine *machine, image int) bool {
	for i := range machine.placements {
		if n.jobs[machine.placements[i].job].Image == image {
			return true
		}
	}
	return false
}
