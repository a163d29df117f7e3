package core

import (
	"slices"

	"micaport/internal/wire"
)

// How many slots with the image that fit are compared, and how many are compared and
// looked at in one class: those of a class differ little.
const (
	maxCompared        = 12
	maxComparedInClass = 3
	maxExamined        = 96
)

// slotSearch is a search for the best machine for a task.
type slotSearch struct {
	set       *slotSet
	job       *job
	accept    func(*slot) bool    // of a class of machines; nil: any
	penalty   func(*slot) float64 // added to the score; nil: nothing
	best      *slot
	bestScore float64
}

// best chooses the machine for a task, or nil. What ok says of a slot must
// hold for its whole class, and so must what extra adds to its score.
func (set *slotSet) best(job *job, ok func(*slot) bool, extra func(*slot) float64) *slot {
	s := &slotSearch{set: set, job: job, accept: ok, penalty: extra}
	s.compareWithImage()
	for _, class := range set.classOrder {
		if s.mayFit(class) {
			s.compareInClass(class)
		}
	}
	return s.best
}

// compare keeps a machine if it is better than what was found so far.
func (s *slotSearch) compare(candidate *slot) {
	score := s.set.node.score(s.job, candidate)
	if s.penalty != nil {
		score += s.penalty(candidate)
	}
	if s.best == nil || score < s.bestScore {
		s.best, s.bestScore = candidate, score
	}
}

// compareWithImage compares machines that have the job's image.
func (s *slotSearch) compareWithImage() {
	spec := s.job.Record.Spec
	key := imageList{s.job.Image, spec.GPUs <= 0}
	list := s.set.withImage(key)
	kept := list[:0]
	fits := 0
	for i, candidate := range list {
		s.set.node.workCount++
		if fits >= maxCompared {
			kept = append(kept, list[i:]...)
			break
		}
		if candidate.isFull(key.withoutGPU) {
			continue
		}
		kept = append(kept, candidate)
		if candidate.fits(spec) && candidate.accepts(s.job) && (s.accept == nil || s.accept(candidate)) {
			fits++
			s.compare(candidate)
		}
	}
	s.set.byImage[key] = kept
}

// mayFit tells whether machines of a class can have room for the task.
func (s *slotSearch) mayFit(class slotClass) bool {
	cards := s.job.Record.Spec.GPUs
	if class.noGPU && cards > 0 && s.set.node.machineTypes[class.machineType].GPUs > 0 {
		return false
	}
	return float64(class.gpus)+1 >= cards && s.job.Allows(class.machineType, class.zone, class.spot)
}

// compareInClass compares a few machines of a class.
func (s *slotSearch) compareInClass(class slotClass) {
	spec, list := s.job.Record.Spec, s.set.open[class]
	fits, looked := 0, 0
	for i := 0; i < len(*list); {
		candidate := (*list)[i]
		s.set.node.workCount++
		if candidate.class != class || candidate.isFull(true) { // moved on
			candidate.listedIn = slices.DeleteFunc(candidate.listedIn, func(y slotClass) bool { return y == class })
			last := len(*list) - 1
			(*list)[i] = (*list)[last]
			*list = (*list)[:last]
			continue
		}
		i++
		if looked++; looked > maxExamined || fits >= maxComparedInClass {
			return
		}
		if !candidate.fits(spec) || !candidate.accepts(s.job) {
			continue
		}
		if s.accept != nil && !s.accept(candidate) {
			return
		}
		fits++
		s.compare(candidate)
	}
}

// fetchSeconds is how long the image of a job would take to reach the machine.
func (n *Node) fetchSeconds(job *job, slot *slot) float64 {
	if slot.images.Has(job.Image) {
		return 0
	}
	rate := 0.1
	if slot.typeInfo != nil && slot.typeInfo.FetchGBs > 0 {
		rate = slot.typeInfo.FetchGBs
	}
	// Whether images share the rate differs from site to site.
	t := (job.Record.Spec.ImageGB + slot.fetchGB/3) / rate
	if slot.machine != nil && n.usesImage(slot.machine, job.Image) {
		return t / 2 // on its way already
	}
	return t
}

// score ranks a machine for a task; lower is better. It is in seconds of
// waiting that a choice costs, roughly.
func (n *Node) score(job *job, slot *slot) float64 {
	spec := job.Record.Spec
	v := n.fetchSeconds(job, slot)
	v += 3 * (slot.gpus - spec.GPUs) // pack
	if spec.AllowSpot && !slot.spot && slot.isIdle() {
		v += 40
	}
	if spec.AllowSpot && !slot.spot && !slot.isIdle() {
		v -= 4 // the machine stays anyway; a spot machine may go back
	}
	if spec.Shape == wire.ShapeDaemon && !slot.daemon {
		v += 5 // it stays long: better two on one machine than half of two
	}
	v += 100 * float64(slot.errors)
	if slot.machine != nil && len(job.Record.FailedMachines) > 0 && slices.Contains(job.Record.FailedMachines, slot.machine.name) {
		v += 500
	}
	return v
}

// zoneTasks counts a job's active tasks in each zone. Tasks of old attempts
// count until they are proven gone.
func (n *Node) zoneTasks(r *wire.Job) []int {
	m := make([]int, n.names.Zones.Len())
	for i := range r.ActiveTasks {
		m[n.shards[r.ActiveTasks[i].Shard].Zone]++
	}
	return m
}

// zoneLimit is how many tasks of a job one zone may hold.
func zoneLimit(spec *wire.JobSpec) int {
	if spec.Spread {
		return (spec.TaskCount + 1) / 2
	}
	return spec.TaskCount
}
