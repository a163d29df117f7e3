package replica

import (
	"cmp"
	"slices"

	"micaport/internal/wire"
)

// PartialChange divides a change of a job's record into the changes of single tasks, so that a
// change that is too large for a transaction can be made in several. It must not be used for gangs,
// whose tasks start together.
type PartialChange struct {
	stored, changed *wire.Job
	tasks           []int // numbers of the tasks whose active attempts change, by the key that stores them
}

// attemptKey identifies an active task within its job.
type attemptKey struct {
	task    int
	attempt uint64
}

func attemptOf(task *wire.ActiveTask) attemptKey { return attemptKey{task.Task, task.Attempt} }

// NewPartialChange returns the change from the stored record of a job to the changed one, neither
// of which it modifies.
func NewPartialChange(stored, changed *wire.Job) *PartialChange {
	change := &PartialChange{stored: stored, changed: changed}
	storedIn := map[int]int{} // by task
	previous := map[attemptKey]wire.ActiveTask{}
	for i := range stored.ActiveTasks {
		task := stored.ActiveTasks[i]
		storedIn[task.Task] = task.StoredIn
		previous[attemptOf(&task)] = task
	}
	differs := map[int]bool{}
	for i := range changed.ActiveTasks {
		task := changed.ActiveTasks[i]
		before := previous[attemptOf(&task)]
		delete(previous, attemptOf(&task))
		if task.StoredIn = before.StoredIn; task != before {
			differs[task.Task] = true
		}
	}
	for removed := range previous {
		differs[removed.task] = true
	}
	for task := range differs {
		change.tasks = append(change.tasks, task)
	}
	slices.SortFunc(change.tasks, func(a, b int) int {
		return cmp.Or(cmp.Compare(storedIn[a], storedIn[b]), cmp.Compare(a, b))
	})
	return change
}

// Tasks returns the number of tasks whose active attempts change.
func (c *PartialChange) Tasks() int { return len(c.tasks) }

// Record returns the changed record with the changes of only the given number of tasks. The others
// are as in the stored record.
func (c *PartialChange) Record(tasks int) *wire.Job {
	included := make(map[int]bool, tasks)
	for _, task := range c.tasks[:tasks] {
		included[task] = true
	}
	record := *c.changed
	record.FailedMachines = slices.Clone(c.changed.FailedMachines)
	record.ActiveTasks = c.activeTasks(included)
	record.DoneTasks = slices.Clone(c.stored.DoneTasks)
	for _, task := range c.tasks[:tasks] {
		if c.changed.DoneTasks.Has(task) {
			record.DoneTasks = record.DoneTasks.With(task)
		}
	}
	return &record
}

// activeTasks returns the stored active tasks in their order, with the changes of the included
// tasks, followed by the new attempts of these.
func (c *PartialChange) activeTasks(included map[int]bool) wire.ActiveTasks {
	next := make(map[attemptKey]*wire.ActiveTask, len(c.changed.ActiveTasks))
	for i := range c.changed.ActiveTasks {
		next[attemptOf(&c.changed.ActiveTasks[i])] = &c.changed.ActiveTasks[i]
	}
	var active wire.ActiveTasks
	for i := range c.stored.ActiveTasks {
		task := c.stored.ActiveTasks[i]
		if included[task.Task] {
			changed := next[attemptOf(&task)]
			if changed == nil {
				continue
			}
			storedIn := task.StoredIn
			task = *changed
			task.StoredIn = storedIn
			delete(next, attemptOf(&task))
		}
		active = append(active, task)
	}
	for i := range c.changed.ActiveTasks {
		task := c.changed.ActiveTasks[i]
		if included[task.Task] && next[attemptOf(&task)] != nil {
			task.StoredIn = 0
			active = append(active, task)
		}
	}
	return active
}
