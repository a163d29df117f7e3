package core

import (
	"slices"

	"micaport/internal/indexset"
	"micaport/internal/wire"
)

// slot is the free capacity of a machine that is up, booting or requested, or that a scheduling
// pass plans to provision.
type slot struct {
	machine               *machine // nil for a machine that is not up
	shard                 int      // index; -1 while unknown
	zone, machineType     int      // indices of the names
	spot                  bool
	cores, gpus, memoryGB float64
	reportBytes           int // size of the machine's tasks in its heartbeats, at most; see maxReportedTaskBytes
	typeInfo              *wire.MachineType

	// Capacity that will be released by tasks with a pending stop request.
	releasingCores, releasingGPUs, releasingMemoryGB float64

	hasDaemon      bool // the machine runs a daemon, so it is not drained anyway
	reserved       bool // for a gang that still waits for more machines
	reservedFor    int  // index of the only job that may use the slot, plus one; 0: any job
	images         indexset.Set
	fetchGB        float64 // size of the images being fetched, which share the rate
	failedJobCount int     // jobs that failed on the machine since its last success

	set      *slotSet    // the set that the slot has been added to, or nil
	class    slotClass   // class of the slot after the last change of its capacity
	listedIn []slotClass // all classes whose lists contain the slot, including its earlier classes
}

// addFetch adds the image of a job to the fetches of the machine unless it has the image.
func (s *slot) addFetch(job *job) {
	if !s.images.Has(job.Image) {
		s.fetchGB += job.Record.Spec.ImageGB
	}
}

// fits reports whether the free capacity suffices for one more task.
func (s *slot) fits(spec *wire.JobSpec) bool {
	return !s.reserved && s.reportFits(spec) && spec.Cores <= s.cores+epsilon && spec.GPUs <= s.gpus+epsilon && spec.MemoryGB <= s.memoryGB+epsilon
}

// fitsAfterRelease reports whether the capacity will suffice for one more task once all tasks
// with a pending stop request have ended.
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
	s.reportBytes += maxStatusBytes(spec.ID) * -tasks
	if s.set != nil {
		s.set.reclassify(s)
	}
}

// capacityFor returns how many tasks fit, at most maxRunLength.
func (s *slot) capacityFor(spec *wire.JobSpec) int {
	tasks := min(maxRunLength, (maxReportedTaskBytes-s.reportBytes)/maxStatusBytes(spec.ID))
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

// isFull reports whether the machine has no capacity left: for tasks without GPUs if withoutGPU is
// set, otherwise for tasks with GPUs. A machine whose GPUs are all in use still accepts tasks
// without GPUs: otherwise these would be placed on machines with free GPUs, which then could
// neither be drained nor run whole-machine tasks.
func (s *slot) isFull(withoutGPU bool) bool {
	return s.cores <= epsilon || !withoutGPU && s.typeInfo.GPUs > 0 && s.gpus <= epsilon
}

// maxAvoidedMachines is the number of machines up to which a job avoids those on which it has
// failed. If it has failed on more, the job is at fault rather than the machines.
const maxAvoidedMachines = 2

// accepts reports whether a job's tasks may run on the machine, regardless of the free capacity.
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
	return &slot{machine: machine, shard: machine.shard, zone: machine.zone, machineType: machine.machineType, spot: machine.spot, typeInfo: machineType, reportBytes: used.reportBytes,
		cores: machineType.Cores - used.cores, gpus: machineType.GPUs - used.gpus, memoryGB: machineType.MemoryGB - used.memoryGB,
		releasingCores: used.releasingCores, releasingGPUs: used.releasingGPUs, releasingMemoryGB: used.releasingMemoryGB, hasDaemon: used.hasDaemon,
		images: machine.images, failedJobCount: machine.view.failedJobCount, fetchGB: s.pendingFetchGB(machine)}
}

// slotClass groups slots that are nearly equivalent for the choice of a machine.
type slotClass struct {
	shard, zone, machineType, gpus       int  // gpus: free GPUs, whole ones only
	spot, idle, hasDaemon, hasFailedJobs bool // hasFailedJobs: a job has failed on the machine since its last success
	noFreeGPU                            bool // no GPU is free, not even a fraction of one
}

// classify returns the class that a slot belongs to at present.
func (s *slot) classify() slotClass {
	return slotClass{shard: s.shard, zone: s.zone, machineType: s.machineType, gpus: int(s.gpus + epsilon), noFreeGPU: s.gpus <= epsilon, spot: s.spot,
		idle: s.isIdle(), hasDaemon: s.hasDaemon, hasFailedJobs: s.failedJobCount > 0}
}

// slotSet holds slots, indexed by class and by image, so that the cost of choosing a slot grows
// with the number of classes rather than with the number of machines.
type slotSet struct {
	node       *Node
	all        []*slot
	releasing  []*slot // those with capacity that tasks are about to release
	byClass    map[slotClass]*slotList
	classOrder []slotClass // classes in the order in which they were first added
	byImage    map[imageListKey][]*slot
}

// slotList lists the slots of a class. slotSet.byClass holds a pointer to the list, so that a
// search can shorten the list without another lookup of the class.
type slotList []*slot

// imageListKey is the key of a list of slots that have an image: those with a free GPU or, for
// tasks without GPUs, all that have any free capacity.
type imageListKey struct {
	image      int // index of the name
	withoutGPU bool
}

// newSlotSet returns an empty set.
func newSlotSet(n *Node) *slotSet {
	return &slotSet{node: n, byClass: map[slotClass]*slotList{}, byImage: map[imageListKey][]*slot{}}
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

// addToClass lists a slot under its class, unless it is full or already listed there.
func (s *slotSet) addToClass(slot *slot) {
	if slot.isFull(true) || slices.Contains(slot.listedIn, slot.class) {
		return
	}
	slot.listedIn = append(slot.listedIn, slot.class)
	list := s.byClass[slot.class]
	if list == nil {
		list = new(slotList)
		s.byClass[slot.class] = list
		s.classOrder = append(s.classOrder, slot.class)
	}
	*list = append(*list, slot)
}

// reclassify adds a slot to the list of its new class after its capacity has changed. The next
// search that finds the slot in the list of its old class removes it from that list.
func (s *slotSet) reclassify(slot *slot) {
	class := slot.classify()
	if class != slot.class {
		slot.class = class
		s.addToClass(slot)
	}
}

// withImage returns the slots that have an image or are fetching it. The list is built on first
// use, from the slots that are not full at that time.
func (s *slotSet) withImage(key imageListKey) []*slot {
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

// capacityFor returns an upper bound for the number of tasks of a job that fit into the slots of
// those shards and zones for which includes returns true. It considers the GPUs only.
func (s *slotSet) capacityFor(job *job, includes func(shardIndex, zone int) bool) int {
	// assumedTasksPerSlot is assumed for tasks that need less than one GPU, for which no bound is
	// derived from the class.
	const assumedTasksPerSlot = 1 << 10
	spec, tasks := job.Record.Spec, 0
	for _, class := range s.classOrder {
		if !includes(class.shard, class.zone) || !job.Allows(class.machineType, class.zone, class.spot) {
			continue
		}
		tasksPerSlot := assumedTasksPerSlot
		if spec.GPUs >= 1 {
			// class.gpus is rounded down: a slot of the class has less than class.gpus+1 free
			// GPUs. If a single task needs that many, none fits.
			tasksPerSlot = (class.gpus + 1) / int(spec.GPUs)
			if float64(class.gpus)+1 < spec.GPUs+epsilon {
				tasksPerSlot = class.gpus / int(spec.GPUs)
			}
		}
		tasks += tasksPerSlot * len(*s.byClass[class])
	}
	return tasks
}

// usesImage reports whether a task that is placed on the machine uses an image.
func (s *site) usesImage(machine *machine, image int) bool {
	for i := range machine.placements {
		if s.jobs[machine.placements[i].job].Image == image {
			return true
		}
	}
	return false
}
