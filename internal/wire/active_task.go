package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ActiveTask is a task that has been granted to a shard and, once Machine is set,
// placed on a machine. It charges its team until it is removed, and it is
// removed only on proof that the task is gone.
type ActiveTask struct {
	Task    int
	Attempt uint64
	Shard   int
	Machine string
	Epoch   uint64
	Stop    StopRequest
	// Admitted says that the owner of the shard has admitted the task within the shard's
	// share of the team's limit; otherwise the leader has granted it. Format 4.
	Admitted bool
	// StoredIn says which key holds it: 1 the job's own record, 2 the first of the
	// further ones and so on, 0 none yet. It is not written.
	StoredIn int
}

// ActiveTasks are the active tasks of a job. Neighbours that differ in their number
// only are encoded as one run, and runs are listed by shard, epoch and mark: an
// array of many small tasks has a dozen of them on each machine, and only so do
// as many as its machines can run fit a value.
//
//	[[shard, epoch, stop, [task, attempt, machine, count, ...]], ...]
type ActiveTasks []ActiveTask

// follows tells whether the entry continues the run that another one ends.
func (a *ActiveTask) follows(before *ActiveTask) bool {
	return a.Task == before.Task+1 && a.Attempt == before.Attempt && a.Machine == before.Machine && a.group() == before.group()
}

// group is what the tasks of a list have in common.
func (a *ActiveTask) group() taskGroup {
	return taskGroup{a.Shard, a.Epoch, a.Stop, a.Admitted, a.StoredIn}
}

type taskGroup struct {
	shard    int
	epoch    uint64
	stop     StopRequest
	admitted bool
	storedIn int
}

// admittedFlag is added to the mark of a list of admitted tasks.
const admittedFlag = 4

// mark is how a list's stop mark and the flag of admitted tasks are written.
func (k taskGroup) mark() int {
	if k.admitted {
		return int(k.stop) | admittedFlag
	}
	return int(k.stop)
}

// Run gives the bounds of the run that an entry belongs to.
func (l ActiveTasks) Run(at int) (from, to int) {
	from, to = at, at+1
	for from > 0 && l[from].follows(&l[from-1]) {
		from--
	}
	for to < len(l) && l[to].follows(&l[to-1]) {
		to++
	}
	return from, to
}

// What a list and a run in it take at most in the form in which values are
// measured, the name of the machine aside.
const (
	groupCost = 24
	runCost   = 22
)

// GroupCost bounds what a list takes besides its runs.
const GroupCost = groupCost

// Cost bounds the size of the encoded tasks in that form.
func (l ActiveTasks) Cost() int {
	cost := 0
	seen := map[taskGroup]bool{}
	for at := 0; at < len(l); {
		if k := l[at].group(); !seen[k] {
			seen[k] = true
			cost += groupCost
		}
		cost += RunCost(l[at].Machine)
		_, at = l.Run(at)
	}
	return cost
}

// RunCost bounds what one more run on a machine takes.
func RunCost(host string) int { return runCost + len(host) }

// EncodeMsgpack writes the lists in the order in which they begin.
func (l ActiveTasks) EncodeMsgpack(e *msgpack.Encoder) error {
	var order []taskGroup
	runs := map[taskGroup][]any{}
	for at := 0; at < len(l); {
		a, k := &l[at], l[at].group()
		_, to := l.Run(at)
		if runs[k] == nil {
			order = append(order, k)
		}
		runs[k] = append(runs[k], a.Task, a.Attempt, a.Machine, to-at)
		at = to
	}
	if err := e.EncodeArrayLen(len(order)); err != nil {
		return fmt.Errorf("active tasks: %w", err)
	}
	for _, k := range order {
		if err := e.EncodeArrayLen(4); err != nil {
			return fmt.Errorf("active tasks: %w", err)
		}
		if err := e.EncodeMulti(k.shard, k.epoch, k.mark()); err != nil {
			return fmt.Errorf("active tasks: %w", err)
		}
		if err := e.EncodeArrayLen(len(runs[k])); err != nil {
			return fmt.Errorf("active tasks: %w", err)
		}
		if err := e.EncodeMulti(runs[k]...); err != nil {
			return fmt.Errorf("active tasks: %w", err)
		}
	}
	return nil
}

// DecodeMsgpack reads the lists.
func (l *ActiveTasks) DecodeMsgpack(d *msgpack.Decoder) error {
	*l = nil
	lists, err := d.DecodeArrayLen()
	for i := 0; i < lists && err == nil; i++ {
		err = l.decodeGroup(d)
	}
	if err != nil {
		return fmt.Errorf("active tasks: %w", err)
	}
	return nil
}

func (l *ActiveTasks) decodeGroup(d *msgpack.Decoder) error {
	if _, err := d.DecodeArrayLen(); err != nil {
		return err
	}
	var a ActiveTask
	mark := 0
	if err := d.DecodeMulti(&a.Shard, &a.Epoch, &mark); err != nil {
		return err
	}
	a.Admitted, a.Stop = mark&admittedFlag != 0, StopRequest(mark&^admittedFlag)
	fields, err := d.DecodeArrayLen()
	for at := 0; at < fields && err == nil; at += 4 {
		count := 0
		if err = d.DecodeMulti(&a.Task, &a.Attempt, &a.Machine, &count); err == nil && (count < 1 || count > MaxTasks) {
			err = fmt.Errorf("a run of %d", count)
		}
		for range count {
			*l = append(*l, a)
			a.Task++
		}
	}
	return err
}
