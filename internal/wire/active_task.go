package wire

// StopRequest says whether an active task is to go on. Its numbers are stored.
type StopRequest int

// Kinds of StopRequest.
const (
	StopNone    StopRequest = 0
	StopPreempt StopRequest = 1 // save a checkpoint, then exit
	StopAbandon StopRequest = 2 // exit at once; the attempt is lost
)

// ActiveTask is a task that has been granted to a shard and, once Machine is set, placed on a
// machine. Its team is charged for it until it is removed, and it is removed only on proof that
// the task is gone.
type ActiveTask struct {
	Task    int    // number of the task in its job
	Attempt uint64 // attempt number under which it is started
	Shard   int    // index of the shard
	Machine string // "" until the owner of the shard has placed it
	Epoch   uint64 // epoch of the machine's worker when it was placed; 0 until then
	Stop    StopRequest

	// Admitted is set if the owner of the shard has admitted the task within the shard's share
	// of the team's limit; otherwise the leader has granted it. Format 4.
	Admitted bool

	// StoredIn is the record that holds the task: 1 for the job's own, 2 for its first Overflow
	// and so on, 0 for none yet. It is not stored.
	StoredIn int
}

// ActiveTasks are the active tasks of a job; active_task_codec.go describes their encoding.
// Neighbours that differ only in their consecutive task numbers form a run, which is encoded in
// constant size.
type ActiveTasks []ActiveTask

// taskGroup is what the tasks of an encoded list have in common.
type taskGroup struct {
	shard    int
	epoch    uint64
	stop     StopRequest
	admitted bool
	storedIn int
}

func (a *ActiveTask) group() taskGroup {
	return taskGroup{a.Shard, a.Epoch, a.Stop, a.Admitted, a.StoredIn}
}

// continues reports whether the task belongs to the run that ends with previous.
func (a *ActiveTask) continues(previous *ActiveTask) bool {
	return a.Task == previous.Task+1 && a.Attempt == previous.Attempt &&
		a.Machine == previous.Machine && a.group() == previous.group()
}

// Run returns the bounds, to exclusive, of the run that the task at an index belongs to.
func (l ActiveTasks) Run(at int) (from, to int) {
	from, to = at, at+1
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
	// GroupCost bounds the size of a group without its runs.
	GroupCost = 24
	// runCost bounds the size of a run without the name of its machine.
	runCost = 22
)

// RunCost bounds the encoded size of a run on a machine, in bytes as JSONSize measures them.
func RunCost(machine string) int { return runCost + len(machine) }

// Cost bounds the encoded size of the tasks, in bytes as JSONSize measures them.
func (l ActiveTasks) Cost() int {
	cost := 0
	seen := map[taskGroup]bool{}
	for at := 0; at < len(l); {
		if group := l[at].group(); !seen[group] {
			seen[group] = true
			cost += GroupCost
		}
		cost += RunCost(l[at].Machine)
		_, at = l.Run(at)
	}
	return cost
}
