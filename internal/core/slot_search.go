package core

import "slices"

// Bounds of a search: how many slots with the job's image that fit are compared, and how many
// are compared and looked at in one class, whose slots differ little.
const (
	maxCompared        = 12
	maxComparedInClass = 3
	maxExamined        = 96
)

// slotSearch is a search for the best slot for a task.
type slotSearch struct {
	set       *slotSet
	job       *job
	accept    func(*slot) bool    // of a class; nil: any
	penalty   func(*slot) float64 // added to the score; nil: nothing
	best      *slot
	bestScore float64
}

// best returns the slot with the lowest score for a task, or nil if none fits. What accept
// (nil: any) says of a slot must hold for its whole class, and so must what penalty (nil:
// nothing) adds to its score.
func (set *slotSet) best(job *job, accept func(*slot) bool, penalty func(*slot) float64) *slot {
	search := &slotSearch{set: set, job: job, accept: accept, penalty: penalty}
	search.compareWithImage()
	for _, class := range set.classOrder {
		if search.mayFit(class) {
			search.compareInClass(class)
		}
	}
	return search.best
}

// compare takes a slot as the best if its score is lower than the best so far.
func (search *slotSearch) compare(candidate *slot) {
	score := search.set.node.score(search.job, candidate)
	if search.penalty != nil {
		score += search.penalty(candidate)
	}
	if search.best == nil || score < search.bestScore {
		search.best, search.bestScore = candidate, score
	}
}

// compareWithImage compares slots that have the job's image, and drops full ones from the
// list of these.
func (search *slotSearch) compareWithImage() {
	spec := search.job.Record.Spec
	key := imageList{search.job.Image, spec.GPUs <= 0}
	list := search.set.withImage(key)
	remaining := list[:0]
	compared := 0
	for i, candidate := range list {
		search.set.node.workCount++
		if compared >= maxCompared {
			remaining = append(remaining, list[i:]...)
			break
		}
		if candidate.isFull(key.withoutGPU) {
			continue
		}
		remaining = append(remaining, candidate)
		if candidate.fits(spec) && candidate.accepts(search.job) && (search.accept == nil || search.accept(candidate)) {
			compared++
			search.compare(candidate)
		}
	}
	search.set.byImage[key] = remaining
}

// mayFit reports whether slots of a class can have the capacity for the task.
func (search *slotSearch) mayFit(class slotClass) bool {
	gpus := search.job.Record.Spec.GPUs
	if class.noGPU && gpus > 0 && search.set.node.machineTypes[class.machineType].GPUs > 0 {
		return false
	}
	return float64(class.gpus)+1 >= gpus && search.job.Allows(class.machineType, class.zone, class.spot)
}

// compareInClass compares a few slots of a class, and drops from its list those that it comes
// upon which have another class by now.
func (search *slotSearch) compareInClass(class slotClass) {
	spec, list := search.job.Record.Spec, search.set.open[class]
	compared, examined := 0, 0
	for i := 0; i < len(*list); {
		candidate := (*list)[i]
		search.set.node.workCount++
		if candidate.class != class || candidate.isFull(true) {
			candidate.listedIn = slices.DeleteFunc(candidate.listedIn, func(listed slotClass) bool { return listed == class })
			last := len(*list) - 1
			(*list)[i] = (*list)[last]
			*list = (*list)[:last]
			continue
		}
		i++
		if examined++; examined > maxExamined || compared >= maxComparedInClass {
			return
		}
		if !candidate.fits(spec) || !candidate.accepts(search.job) {
			continue
		}
		if search.accept != nil && !search.accept(candidate) {
			return
		}
		compared++
		search.compare(candidate)
	}
}
