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
func (s *slotSet) best(job *job, accept func(*slot) bool, penalty func(*slot) float64) *slot {
	search := &slotSearch{set: s, job: job, accept: accept, penalty: penalty}
	search.compareWithImage()
	for _, class := range s.classOrder {
		if search.mayFit(class) {
			search.compareInClass(class)
		}
	}
	return search.best
}

// compare takes a slot as the best if its score is lower than the best so far.
func (s *slotSearch) compare(candidate *slot) {
	score := s.set.node.score(s.job, candidate)
	if s.penalty != nil {
		score += s.penalty(candidate)
	}
	if s.best == nil || score < s.bestScore {
		s.best, s.bestScore = candidate, score
	}
}

// compareWithImage compares slots that have the job's image, and drops full ones from the
// list of these.
func (s *slotSearch) compareWithImage() {
	spec := s.job.Record.Spec
	key := imageList{s.job.Image, spec.GPUs <= 0}
	list := s.set.withImage(key)
	remaining := list[:0]
	compared := 0
	for i, candidate := range list {
		s.set.node.workCount++
		if compared >= maxCompared {
			remaining = append(remaining, list[i:]...)
			break
		}
		if candidate.isFull(key.withoutGPU) {
			continue
		}
		remaining = append(remaining, candidate)
		if candidate.fits(spec) && candidate.accepts(s.job) && (s.accept == nil || s.accept(candidate)) {
			compared++
			s.compare(candidate)
		}
	}
	s.set.byImage[key] = remaining
}

// mayFit reports whether slots of a class can have the capacity for the task.
func (s *slotSearch) mayFit(class slotClass) bool {
	gpus := s.job.Record.Spec.GPUs
	if class.noGPU && gpus > 0 && s.set.node.machineTypes[class.machineType].GPUs > 0 {
		return false
	}
	return float64(class.gpus)+1 >= gpus && s.job.Allows(class.machineType, class.zone, class.spot)
}

// compareInClass compares a few slots of a class, and drops from its list those that it comes
// upon which have another class by now.
func (s *slotSearch) compareInClass(class slotClass) {
	spec, list := s.job.Record.Spec, s.set.open[class]
	compared, examined := 0, 0
	for i := 0; i < len(*list); {
		candidate := (*list)[i]
		s.set.node.workCount++
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
		if !candidate.fits(spec) || !candidate.accepts(s.job) {
			continue
		}
		if s.accept != nil && !s.accept(candidate) {
			return
		}
		compared++
		s.compare(candidate)
	}
}
