package core

import "slices"

// Bounds of a search. A search examines slots and compares the scores of those that fit.
const (
	// maxComparedWithImage bounds the compared slots that have the job's image.
	maxComparedWithImage = 12
	// maxComparedInClass and maxExaminedInClass bound the compared and the examined slots of
	// each class: slots of one class differ little.
	maxComparedInClass = 3
	maxExaminedInClass = 96
)

// slotSearch is a search for the best slot for a task. accept and penalty return the same result for
// all slots of a class.
type slotSearch struct {
	set       *slotSet
	job       *job
	accept    func(*slot) bool    // nil: accepts any slot
	penalty   func(*slot) float64 // added to the score; nil: none
	best      *slot
	bestScore float64
}

// best returns the slot with the lowest score for a task, or nil if none fits. Only slots for
// which accept returns true are considered (nil: all), and the result of penalty is added to
// the score (nil: nothing). Both must return the same result for all slots of a class.
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

// compare makes a slot the best one if its score is lower than the best score so far.
func (s *slotSearch) compare(candidate *slot) {
	score := s.set.node.score(s.job, candidate)
	if s.penalty != nil {
		score += s.penalty(candidate)
	}
	if s.best == nil || score < s.bestScore {
		s.best, s.bestScore = candidate, score
	}
}

// compareWithImage compares slots that have the job's image or are fetching it, and removes full
// slots from the list of that image.
func (s *slotSearch) compareWithImage() {
	spec := s.job.Record.Spec
	key := imageListKey{s.job.Image, spec.GPUs <= 0}
	list := s.set.withImage(key)
	remaining := list[:0]
	compared := 0
	for i, candidate := range list {
		s.set.node.examinedMachines++
		if compared >= maxComparedWithImage {
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

// mayFit reports whether slots of a class may have the capacity for the task and the job may
// run on them.
func (s *slotSearch) mayFit(class slotClass) bool {
	gpus := s.job.Record.Spec.GPUs
	if class.noFreeGPU && gpus > 0 && s.set.node.typeAt(class.machineType).GPUs > 0 {
		return false
	}
	return float64(class.gpus)+1 >= gpus && s.job.Allows(class.machineType, class.zone, class.spot)
}

// compareInClass compares a few slots of a class. It removes the slots that it finds to be full, or
// to belong to another class by now, from the list of the class.
func (s *slotSearch) compareInClass(class slotClass) {
	spec, list := s.job.Record.Spec, s.set.byClass[class]
	compared, examined := 0, 0
	for i := 0; i < len(*list); {
		candidate := (*list)[i]
		s.set.node.examinedMachines++
		if candidate.class != class || candidate.isFull(true) {
			candidate.listedIn = slices.DeleteFunc(candidate.listedIn, func(listed slotClass) bool { return listed == class })
			last := len(*list) - 1
			(*list)[i] = (*list)[last]
			*list = (*list)[:last]
			continue
		}
		i++
		if examined++; examined > maxExaminedInClass || compared >= maxComparedInClass {
			return
		}
		if !candidate.fits(spec) || !candidate.accepts(s.job) {
			continue
		}
		if s.accept != nil && !s.accept(candidate) {
			return // nor does it accept the other slots of the class
		}
		compared++
		s.compare(candidate)
	}
}
