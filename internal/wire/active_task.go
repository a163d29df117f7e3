package wire

import "math"

// StopRequest is the way in which an active task is requested to stop. Its numbers are stored.
type StopRequest int

// Kinds of StopRequest.
const (
	StopNone    StopRequest = 0 // the task is to continue
	StopPreempt StopRequest = 1 // save a checkpoint, then exit
	StopAbandon StopRequest = 2 // exit at once; the attempt is lost
)

// ActiveTask is a task that has been granted to a shard and, once Machine is set, placed on a
// machine. Its team is charged for it until it is removed from the record, which requires proof
// that the task no longer runs.
type ActiveTask struct {
	Task    int    // number of the task in its job
	Attempt uint64 // attempt number with which it is started
	Shard   int    // index of the shard
	Machine string // "" until the owner of the shard has placed it
	Epoch   uint64 // epoch of the machine's worker when it was placed; 0 until then
	Stop    StopRequest

	// Admitted is set if the owner of the shard admitted the task within the shard's share of
	// the team's limit; otherwise the leader granted it. Format 4.
	Admitted bool

	// StoredIn identifies the record that holds the task: 1 for the job's own record, n+1 for
	// the Overflow record with number n, and 0 if none is assigned yet. It is not stored.
	StoredIn int
}

// ActiveTasks is the list of a job's active tasks; active_task_codec.go describes its encoding.
// Adjacent tasks with consecutive numbers that have all other fields in common form a run, which
// is encoded in constant size.
type ActiveTasks []ActiveTask

// taskGroup holds the fields that all tasks of an encoded group have in common.
type taskGroup struct {
	shard    int
	epoch    uint64
	stop     StopRequest
	admitted bool
	storedIn int
}

// group returns the group that the task belongs to.
func (a *ActiveTask) group() taskGroup {
	return taskGroup{a.Shard, a.Epoch, a.Stop, a.Admitted, a.StoredIn}
}

// continues reports whether the task extends the run that ends with previous.
func (a *ActiveTask) continues(previous *ActiveTask) bool {
	return a.Task == previous.Task+1 && a.Attempt == previous.Attempt &&
		a.Machine == previous.Machine && a.group() == previous.group()
}

// Run returns the bounds of the run that contains the task with an index. The upper bound is
// exclusive.
func (l ActiveTasks) Run(index int) (from, to int) {
	from, to = index, index+1
	for from > 0 && l[from].continues(&l[from-1]) {
		from--
	}
	for to < len(l) && l[to].continues(&l[to-1]) {
		to++
	}
	return from, to
}

// Bounds of encoded sizes in bytes, as JSONSize measures them.
const (
	// MaxGroupOverheadBytes bounds the size of a group without its runs.
	MaxGroupOverheadBytes = 24
	// maxRunOverheadBytes bounds the size of a run without the name of its machine.
	maxRunOverheadBytes = 22
)

// MaxRunBytes returns an upper bound of the encoded size of a run on a machine, in bytes as JSONSize
// measures them.
func MaxRunBytes(machine string) int { return maxRunOverheadBytes + len(machine) }

// MaxEncodedBytes returns an upper bound of the encoded size of the tasks, in bytes as JSONSize
// measures them.
func (l ActiveTasks) MaxEncodedBytes() int {
	_, bytes := l.PrefixWithin(math.MaxInt)
	return bytes
}

// PrefixWithin returns the length of the longest prefix of whole runs for which the upper bound of
// the encoded size is at most maxBytes, and that bound, in bytes as JSONSize measures them.
func (l ActiveTasks) PrefixWithin(maxBytes int) (tasks, bytes int) {
	seen := map[taskGroup]bool{}
	for tasks < len(l) {
		runBytes := MaxRunBytes(l[tasks].Machine)
		if group := l[tasks].group(); !seen[group] {
			seen[group] = true
			runBytes += MaxGroupOverheadBytes
		}
		if bytes+runBytes > maxBytes {
			break
		}
		bytes += runBytes
		_, tasks = l.Run(tasks)
	}
	return tasks, bytes
}
