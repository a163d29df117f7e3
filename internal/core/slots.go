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
func (s *slot) noteFetch(job *job) {
	if !s.images.Has(job.Image) {
		s.fetchGB += job.Record.Spec.ImageGB
	}
}

// fits reports whether there is free capacity for one more task.
func (s *slot) fits(spec *wire.JobSpec) bool {
	return !s.reserved && spec.Cores <= s.cores+epsilon && spec.GPUs <= s.gpus+epsilon && spec.MemoryGB <= s.memoryGB+epsilon
}

// fitsAfterRelease reports whether there will be capacity for one more task once all tasks
// that have been told to stop have ended.
func (s *slot) fitsAfterRelease(spec *wire.JobSpec) bool {
	return !s.reserved && spec.Cores <= s.cores+s.releasingCores+epsilon &&
		spec.GPUs <= s.gpus+s.releasingGPUs+epsilon &&
		spec.MemoryGB <= s.memoryGB+s.releasingMemoryGB+epsilon
}

// allocate allocates the capacity for one task.
func (s *slot) allocate(spec *wire.JobSpec) { s.release(spec, -1) }

// release returns the capacity of some tasks, or allocates it if the number is negative.
func (s *slot) release(spec *wire.JobSpec, tasks int) {
	s.cores += spec.Cores * float64(tasks)
	s.gpus += spec.GPUs * float64(tasks)
	s.memoryGB += spec.MemoryGB * float64(tasks)
	if s.set != nil {
		s.set.reclassify(s)
	}
}

// capacityFor is how many tasks fit, at most maxRunLength.
func (s *slot) capacityFor(spec *wire.JobSpec) int {
	tasks := maxRunLength
	for _, resource := range [...]struct{ free, needed float64 }{{s.cores, spec.Cores}, {s.gpus, spec.GPUs}, {s.memoryGB, spec.MemoryGB}} {
		if resource.needed > 0 {
			tasks = min(tasks, int((resource.free+epsilon)/resource.needed))
		}
	}
	return max(0, tasks)
}

// isIdle reports whether neither cores nor GPUs of the machine are in use.
func (s *slot) isIdle() bool {
	return s.cores > s.typeInfo.Cores-epsilon && s.gpus > s.typeInfo.GPUs-epsilon
}

// isFull reports whether nothing is left for a task without GPUs, or else for one with
// GPUs. A machine whose GPUs are all in use still serves the former: otherwise such tasks
// would go to machines with free GPUs, which then could neither be drained nor take
// whole-machine work.
func (s *slot) isFull(withoutGPU bool) bool {
	return s.cores <= epsilon || !withoutGPU && s.typeInfo.GPUs > 0 && s.gpus <= epsilon
}

// maxAvoidedMachines is up to how many machines that have failed a job are avoided. When as
// many have failed it, the job is at fault rather than the machines.
const maxAvoidedMachines = 2

// accepts reports whether a job's tasks may run on the machine at all, whatever its capacity.
func (s *slot) accepts(job *job) bool {
	if s.reservedFor > 0 && s.reservedFor != job.Index+1 {
		return false
	}
	failed := job.Record.FailedMachines
	avoided := len(failed) > 0 && len(failed) <= maxAvoidedMachines
	if s.machine != nil && avoided && slices.Contains(failed, s.machine.name) {
		return false
	}
	return job.Allows(s.machineType, s.zone, s.spot)
}

// slotOf returns the free capacity of a machine, or nil if its type is not known.
func (s *site) slotOf(machine *machine) *slot {
	machineType := s.typeAt(machine.machineType)
	if machineType == nil {
		return nil
	}
	used := s.usageOf(machine)
	return &slot{machine: machine, shard: machine.shard, zone: machine.zone, machineType: machine.machineType, spot: machine.spot, typeInfo: machineType,
		cores: machineType.Cores - used.cores, gpus: machineType.GPUs - used.gpus, memoryGB: machineType.MemoryGB - used.memoryGB,
		releasingCores: used.releasingCores, releasingGPUs: used.releasingGPUs, releasingMemoryGB: used.releasingMemoryGB, daemon: used.daemon,
		images: machine.images, errors: machine.view.errors, fetchGB: s.pendingFetchGB(machine)}
}

// slotClass is what slots have in common for a choice among them.
type slotClass struct {
	shard, zone, machineType, gpus int  // of free GPUs the whole ones
	spot, idle, daemon, faulty     bool // faulty: it has failed a task
	noGPU                          bool // no GPU is free, not even part of one
}

// classify works out the class of a slot.
func (s *slot) classify() slotClass {
	return slotClass{shard: s.shard, zone: s.zone, machineType: s.machineType, gpus: int(s.gpus + epsilon), noGPU: s.gpus <= epsilon, spot: s.spot,
		idle: s.isIdle(), daemon: s.daemon, faulty: s.errors > 0}
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
func (s *slotSet) add(slot *slot) {
	slot.set = s
	s.all = append(s.all, slot)
	if slot.releasingCores > 0 || slot.releasingGPUs > 0 {
		s.releasing = append(s.releasing, slot)
	}
	slot.class = slot.classify()
	s.addToClass(slot)
}

// addToClass lists a slot under its class, unless nothing is left of it.
func (s *slotSet) addToClass(slot *slot) {
	if slot.isFull(true) || slices.Contains(slot.listedIn, slot.class) {
		return
	}
	slot.listedIn = append(slot.listedIn, slot.class)
	list := s.open[slot.class]
	if list == nil {
		list = new(slotList)
		s.open[slot.class] = list
		s.classOrder = append(s.classOrder, slot.class)
	}
	*list = append(*list, slot)
}

// reclassify lists a slot under its new class when its capacity has changed. Searches drop it
// from the list of its old class when they come upon it.
func (s *slotSet) reclassify(slot *slot) {
	class := slot.classify()
	if class != slot.class {
		slot.class = class
		s.addToClass(slot)
	}
}

// withImage lists the slots that have an image or are fetching it and that were not full when
// the list was first asked for.
func (s *slotSet) withImage(key imageList) []*slot {
	list, built := s.byImage[key]
	if !built {
		for _, slot := range s.all {
			if !slot.isFull(key.withoutGPU) &&
				(slot.images.Has(key.image) || slot.machine != nil && s.node.usesImage(slot.machine, key.image)) {
				list = append(list, slot)
			}
		}
		s.byImage[key] = list
	}
	return list
}

// capacityFor returns an upper bound of how many tasks of a job fit into the slots of shards
// and zones that in allows.
func (s *slotSet) capacityFor(job *job, in func(shardIndex, zone int) bool) int {
	const unbounded = 1 << 10 // tasks without whole GPUs: the class does not tell
	spec, tasks := job.Record.Spec, 0
	for _, class := range s.classOrder {
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
		tasks += tasksPerSlot * len(*s.open[class])
	}
	return tasks
}

// usesImage reports whether a task on the machine uses an image.
func (s *site) usesImage(machine *machine, image int) bool {
	for i := range machine.placements {
		if s.jobs[machine.placements[i].job].Image == image {
			return true
		}
	}
	return false
}
