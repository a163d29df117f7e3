package core

import (
	"slices"

	"micaport/internal/indexset"
	"micaport/internal/wire"
)

// slot is the free capacity of a machine that is up, booting, or planned to be provisioned.
type slot struct {
	machine               *machine // nil for a machine that is not up
	shard                 int      // -1 while unknown
	zone, machineType     int      // indices of the names
	spot                  bool
	cores, gpus, memoryGB float64
	typeInfo              *wire.MachineType

	// What tasks that have been told to stop will release.
	releasingCores, releasingGPUs, releasingMemoryGB float64

	daemon      bool // a daemon keeps the machine from being drained anyway
	reserved    bool // for a gang that still waits for more machines
	reservedFor int  // index of the only job that may use it plus one; 0: any job
	images      indexset.Set
	fetchGB     float64 // size of the images being fetched, which share the rate
	errors      int     // failed tasks since the last success

	set      *slotSet    // nil: in none
	class    slotClass   // as listed in the set
	listedIn []slotClass // the lists of the set that it stands in, some out of date
}

// noteFetch notes that a task's image will be fetched here.
func (slot *slot) noteFetch(job *job) {
	if !slot.images.Has(job.Image) {
		slot.fetchGB += job.Record.Spec.ImageGB
	}
}

// fits reports whether there is free capacity for one more task.
func (slot *slot) fits(spec *wire.JobSpec) bool {
	return !slot.reserved && spec.Cores <= slot.cores+epsilon && spec.GPUs <= slot.gpus+epsilon && spec.MemoryGB <= slot.memoryGB+epsilon
}

// fitsAfterRelease reports whether there will be capacity for one more task once all tasks
// that have been told to stop have ended.
func (slot *slot) fitsAfterRelease(spec *wire.JobSpec) bool {
	return !slot.reserved && spec.Cores <= slot.cores+slot.releasingCores+epsilon && spec.GPUs <= slot.gpus+slot.releasingGPUs+epsilon && spec.MemoryGB <= slot.memoryGB+slot.releasingMemoryGB+epsilon
}

// take allocates the capacity for one task.
func (slot *slot) take(spec *wire.JobSpec) { slot.release(spec, -1) }

// release returns the capacity of some tasks, or allocates it if the number is negative.
func (slot *slot) release(spec *wire.JobSpec, tasks int) {
	slot.cores += spec.Cores * float64(tasks)
	slot.gpus += spec.GPUs * float64(tasks)
	slot.memoryGB += spec.MemoryGB * float64(tasks)
	if slot.set != nil {
		slot.set.reclassify(slot)
	}
}

// capacityFor is how many tasks fit, at most maxRunLength.
func (slot *slot) capacityFor(spec *wire.JobSpec) int {
	tasks := maxRunLength
	for _, resource := range [...]struct{ free, needed float64 }{{slot.cores, spec.Cores}, {slot.gpus, spec.GPUs}, {slot.memoryGB, spec.MemoryGB}} {
		if resource.needed > 0 {
			tasks = min(tasks, int((resource.free+epsilon)/resource.needed))
		}
	}
	return max(0, tasks)
}

// isIdle reports whether neither cores nor GPUs of the machine are in use.
func (slot *slot) isIdle() bool {
	return slot.cores > slot.typeInfo.Cores-epsilon && slot.gpus > slot.typeInfo.GPUs-epsilon
}

// isFull reports whether nothing is left for a task without GPUs, or else for one with
// GPUs. A machine whose GPUs are all in use still serves the former: otherwise such tasks
// would go to machines with free GPUs, which then could neither be drained nor take
// whole-machine work.
func (slot *slot) isFull(withoutGPU bool) bool {
	return slot.cores <= epsilon || !withoutGPU && slot.typeInfo.GPUs > 0 && slot.gpus <= epsilon
}

// maxAvoidedMachines is up to how many machines that have failed a job are avoided. When as
// many have failed it, the job is at fault rather than the machines.
const maxAvoidedMachines = 2

// accepts reports whether a job's tasks may run on the machine at all, whatever its capacity.
func (slot *slot) accepts(job *job) bool {
	if slot.reservedFor > 0 && slot.reservedFor != job.Index+1 {
		return false
	}
	if failed := job.Record.FailedMachines; slot.machine != nil && len(failed) > 0 && len(failed) <= maxAvoidedMachines && slices.Contains(failed, slot.machine.name) {
		return false
	}
	return job.Allows(slot.machineType, slot.zone, slot.spot)
}

// slotOf returns the free capacity of a machine, or nil if its type is not known.
func (n *Node) slotOf(machine *machine) *slot {
	machineType := n.typeAt(machine.machineType)
	if machineType == nil {
		return nil
	}
	used := n.usageOf(machine)
	return &slot{machine: machine, shard: machine.shard, zone: machine.zone, machineType: machine.machineType, spot: machine.spot, typeInfo: machineType,
		cores: machineType.Cores - used.cores, gpus: machineType.GPUs - used.gpus, memoryGB: machineType.MemoryGB - used.memoryGB,
		releasingCores: used.releasingCores, releasingGPUs: used.releasingGPUs, releasingMemoryGB: used.releasingMemoryGB, daemon: used.daemon,
		images: machine.images, errors: machine.view.errors, fetchGB: n.pendingFetchGB(machine)}
}

// slotClass is what slots have in common for a choice among them.
type slotClass struct {
	shard, zone, machineType, gpus int  // of free GPUs the whole ones
	spot, idle, daemon, faulty     bool // faulty: it has failed a task
	noGPU                          bool // no GPU is free, not even part of one
}

// classify works out the class of a slot.
func (slot *slot) classify() slotClass {
	return slotClass{shard: slot.shard, zone: slot.zone, machineType: slot.machineType, gpus: int(slot.gpus + epsilon), noGPU: slot.gpus <= epsilon, spot: slot.spot,
		idle: slot.isIdle(), daemon: slot.daemon, faulty: slot.errors > 0}
}

// slotSet holds slots with an index by class and image, so that the cost of a choice grows
// with the number of classes rather than with that of machines.
type slotSet struct {
	node       *Node
	all        []*slot
	releasing  []*slot // those with capacity about to be released
	open       map[slotClass]*slotList
	classOrder []slotClass // in which classes were first seen
	byImage    map[imageList][]*slot
}

// slotList lists slots. A class has a pointer to its list, so that a search can shorten it
// without looking up the class again.
type slotList []*slot

// imageList names a list of slots that have an image: those with a free GPU, or, for tasks
// that need none, all that have any capacity.
type imageList struct {
	image      int // index of the name
	withoutGPU bool
}

// newSlotSet makes an empty set.
func newSlotSet(n *Node) *slotSet {
	return &slotSet{node: n, open: map[slotClass]*slotList{}, byImage: map[imageList][]*slot{}}
}

// add adds a slot, which must be in no other set.
func (set *slotSet) add(slot *slot) {
	slot.set = set
	set.all = append(set.all, slot)
	if slot.releasingCores > 0 || slot.releasingGPUs > 0 {
		set.releasing = append(set.releasing, slot)
	}
	slot.class = slot.classify()
	set.addToClass(slot)
}

// addToClass lists a slot under its class, unless nothing is left of it.
func (set *slotSet) addToClass(slot *slot) {
	if slot.isFull(true) || slices.Contains(slot.listedIn, slot.class) {
		return
	}
	slot.listedIn = append(slot.listedIn, slot.class)
	list := set.open[slot.class]
	if list == nil {
		list = new(slotList)
		set.open[slot.class] = list
		set.classOrder = append(set.classOrder, slot.class)
	}
	*list = append(*list, slot)
}

// reclassify lists a slot under its new class when its capacity has changed. Searches drop it
// from the list of its old class when they come upon it.
func (set *slotSet) reclassify(slot *slot) {
	class := slot.classify()
	if class != slot.class {
		slot.class = class
		set.addToClass(slot)
	}
}

// withImage lists the slots that have an image or are fetching it and that were not full when
// the list was first asked for.
func (set *slotSet) withImage(key imageList) []*slot {
	list, built := set.byImage[key]
	if !built {
		for _, slot := range set.all {
			if !slot.isFull(key.withoutGPU) && (slot.images.Has(key.image) || slot.machine != nil && set.node.usesImage(slot.machine, key.image)) {
				list = append(list, slot)
			}
		}
		set.byImage[key] = list
	}
	return list
}

// capacityFor returns an upper bound of how many tasks of a job fit into the slots of shards
// and zones that in allows.
func (set *slotSet) capacityFor(job *job, in func(shardIndex, zone int) bool) int {
	const unbounded = 1 << 10 // tasks without whole GPUs: the class does not tell
	spec, tasks := job.Record.Spec, 0
	for _, class := range set.classOrder {
		if !in(class.shard, class.zone) || !job.Allows(class.machineType, class.zone, class.spot) {
			continue
		}
		tasksPerSlot := unbounded
		if spec.GPUs >= 1 {
			tasksPerSlot = (class.gpus + 1) / int(spec.GPUs)
			if float64(class.gpus)+1 < spec.GPUs+epsilon {
				tasksPerSlot = class.gpus / int(spec.GPUs)
			}
		}
		tasks += tasksPerSlot * len(*set.open[class])
	}
	return tasks
}

// usesImage reports whether a task on the machine uses an image.
func (n *Node) usesImage(machine *machine, image int) bool {
	for i := range machine.placements {
		if n.jobs[machine.placements[i].job].Image == image {
			return true
		}
	}
	return false
}
