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
func (s *slot) noteFetch(j *job) {
	if !s.images.Has(j.Image) {
		s.fetchGB += j.Record.Spec.ImageGB
	}
}

func (s *slot) fits(sp *wire.JobSpec) bool {
	return !s.reserved && sp.Cores <= s.cores+epsilon && sp.GPUs <= s.gpus+epsilon && sp.MemoryGB <= s.memoryGB+epsilon
}

func (s *slot) fitsAfterRelease(sp *wire.JobSpec) bool {
	return !s.reserved && sp.Cores <= s.cores+s.releasingCores+epsilon && sp.GPUs <= s.gpus+s.releasingGPUs+epsilon && sp.MemoryGB <= s.memoryGB+s.releasingMemoryGB+epsilon
}

func (s *slot) take(sp *wire.JobSpec) { s.release(sp, -1) }

// release returns what k tasks have taken.
func (s *slot) release(sp *wire.JobSpec, k int) {
	s.cores += sp.Cores * float64(k)
	s.gpus += sp.GPUs * float64(k)
	s.memoryGB += sp.MemoryGB * float64(k)
	if s.set != nil {
		s.set.reclassify(s)
	}
}

// isIdle tells whether nothing runs on the machine.
func (s *slot) isIdle() bool {
	return s.cores > s.typeInfo.Cores-epsilon && s.gpus > s.typeInfo.GPUs-epsilon
}

// accepts tells whether a job's tasks may go to the machine at all. One that
// failed the job is not tried again before others have failed it too, and it
// is the job that is at fault.
func (s *slot) accepts(j *job) bool {
	if s.reservedFor > 0 && s.reservedFor != j.Index+1 {
		return false
	}
	if s.machine != nil && len(j.Record.FailedMachines) > 0 && len(j.Record.FailedMachines) < 3 && slices.Contains(j.Record.FailedMachines, s.machine.name) {
		return false
	}
	return j.Allows(s.machineType, s.zone, s.spot)
}

// slotOf is the room on a machine.
func (n *Node) slotOf(h *machine) *slot {
	r := n.typeAt(h.machineType)
	if r == nil {
		return nil
	}
	t := n.usageOf(h)
	return &slot{machine: h, shard: h.shard, zone: h.zone, machineType: h.machineType, spot: h.spot, typeInfo: r,
		cores: r.Cores - t.cores, gpus: r.GPUs - t.gpus, memoryGB: r.MemoryGB - t.memoryGB,
		releasingCores: t.releasingCores, releasingGPUs: t.releasingGPUs, releasingMemoryGB: t.releasingMemoryGB, daemon: t.daemon,
		images: h.images, errors: h.view.errors, fetchGB: n.pendingFetchGB(h)}
}

// slotClass is what slots have in common for a choice among them.
type slotClass struct {
	shard, zone, machineType, gpus int
	spot, idle, daemon, faulty     bool
	noGPU                          bool // no GPU is free, not even part of one
}

func (s *slot) classify() slotClass {
	return slotClass{shard: s.shard, zone: s.zone, machineType: s.machineType, gpus: int(s.gpus + epsilon), noGPU: s.gpus <= epsilon, spot: s.spot,
		idle: s.isIdle(), daemon: s.daemon, faulty: s.errors > 0}
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

func (x *slotSet) add(s *slot) {
	s.set = x
	x.all = append(x.all, s)
	if s.releasingCores > 0 || s.releasingGPUs > 0 {
		x.releasing = append(x.releasing, s)
	}
	s.class = s.classify()
	x.addToClass(s)
}

// isFull tells whether there is nothing on the machine to be had, by a task that
// needs GPUs or by one that does not: what is left of a machine whose GPUs are all
// in use is of use to the latter. Before this such tasks kept to machines with free
// GPUs, which then neither went back nor had room for whole-machine work.
func (s *slot) isFull(cardless bool) bool {
	return s.cores <= epsilon || !cardless && s.typeInfo.GPUs > 0 && s.gpus <= epsilon
}

func (x *slotSet) addToClass(s *slot) {
	if s.isFull(true) || slices.Contains(s.listedIn, s.class) {
		return
	}
	s.listedIn = append(s.listedIn, s.class)
	l := x.open[s.class]
	if l == nil {
		l = new([]*slot)
		x.open[s.class] = l
		x.classOrder = append(x.classOrder, s.class)
	}
	*l = append(*l, s)
}

func (x *slotSet) reclassify(s *slot) {
	c := s.classify()
	if c != s.class {
		s.class = c
		x.addToClass(s)
	}
}

// compareWithImage lists the slots with room that have an image or are fetching it.
func (x *slotSet) withImage(k imageList) []*slot {
	l, built := x.byImage[k]
	if !built {
		for _, s := range x.all {
			if !s.isFull(k.withoutGPU) && (s.images.Has(k.image) || s.machine != nil && x.node.usesImage(s.machine, k.image)) {
				l = append(l, s)
			}
		}
		x.byImage[k] = l
	}
	return l
}

// usesImage tells whether a task on the machine uses an image.
func (n *Node) usesImage(h *machine, image int) bool {
	for i := range h.placements {
		if n.jobs[h.placements[i].job].Image == image {
			return true
		}
	}
	return false
}
