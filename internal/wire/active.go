package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Active is a task that has been granted to a part and, once Host is set,
// placed on a machine. It charges its team until it is removed, and it is
// removed only on proof that the task is gone.
type Active struct {
	Task    int
	Attempt uint64
	Part    int
	Host    string
	Session uint64
	Stop    StopMark
	// Admitted says that the owner of the part has admitted the task within the part's
	// share of the team's limit; otherwise the leader has granted it. Format 4.
	Admitted bool
	// StoredIn says which key holds it: 1 the job's own record, 2 the first of the
	// further ones and so on, 0 none yet. It is not written.
	StoredIn int
}

// Actives are the active tasks of a job. Neighbours that differ in their number
// only are encoded as one run, and runs are listed by part, session and mark: an
// array of many small tasks has a dozen of them on each machine, and only so do
// as many as its machines can run fit a value.
//
//	[[part, session, stop, [task, attempt, host, count, ...]], ...]
type Actives []Active

// follows tells whether the entry continues the run that another one ends.
func (a *Active) follows(before *Active) bool {
	return a.Task == before.Task+1 && a.Attempt == before.Attempt && a.Host == before.Host && a.list() == before.list()
}

// list is what the tasks of a list have in common.
func (a *Active) list() runList { return runList{a.Part, a.Session, a.Stop, a.Admitted, a.StoredIn} }

type runList struct {
	part     int
	session  uint64
	stop     StopMark
	admitted bool
	in       int
}

// admittedFlag is added to the mark of a list of admitted tasks.
const admittedFlag = 4

// mark is how a list's stop mark and the flag of admitted tasks are written.
func (k runList) mark() int {
	if k.admitted {
		return int(k.stop) | admittedFlag
	}
	return int(k.stop)
}

// Run gives the bounds of the run that an entry belongs to.
func (l Actives) Run(at int) (from, to int) {
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
	listCost = 24
	runCost  = 22
)

// ListCost bounds what a list takes besides its runs.
const ListCost = listCost

// Cost bounds the size of the encoded tasks in that form.
func (l Actives) Cost() int {
	cost := 0
	seen := map[runList]bool{}
	for at := 0; at < len(l); {
		if k := l[at].list(); !seen[k] {
			seen[k] = true
			cost += listCost
		}
		cost += RunCost(l[at].Host)
		_, at = l.Run(at)
	}
	return cost
}

// RunCost bounds what one more run on a machine takes.
func RunCost(host string) int { return runCost + len(host) }

// EncodeMsgpack writes the lists in the order in which they begin.
func (l Actives) EncodeMsgpack(e *msgpack.Encoder) error {
	var order []runList
	runs := map[runList][]any{}
	for at := 0; at < len(l); {
		a, k := &l[at], l[at].list()
		_, to := l.Run(at)
		if runs[k] == nil {
			order = append(order, k)
		}
		runs[k] = append(runs[k], a.Task, a.Attempt, a.Host, to-at)
		at = to
	}
	if err := e.EncodeArrayLen(len(order)); err != nil {
		return fmt.Errorf("active tasks: %w", err)
	}
	for _, k := range order {
		if err := e.EncodeArrayLen(4); err != nil {
			return fmt.Errorf("active tasks: %w", err)
		}
		if err := e.EncodeMulti(k.part, k.session, k.mark()); err != nil {
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
func (l *Actives) DecodeMsgpack(d *msgpack.Decoder) error {
	*l = nil
	lists, err := d.DecodeArrayLen()
	for i := 0; i < lists && err == nil; i++ {
		err = l.decodeList(d)
	}
	if err != nil {
		return fmt.Errorf("active tasks: %w", err)
	}
	return nil
}

func (l *Actives) decodeList(d *msgpack.Decoder) error {
	if _, err := d.DecodeArrayLen(); err != nil {
		return err
	}
	var a Active
	mark := 0
	if err := d.DecodeMulti(&a.Part, &a.Session, &mark); err != nil {
		return err
	}
	a.Admitted, a.Stop = mark&admittedFlag != 0, StopMark(mark&^admittedFlag)
	fields, err := d.DecodeArrayLen()
	for at := 0; at < fields && err == nil; at += 4 {
		count := 0
		if err = d.DecodeMulti(&a.Task, &a.Attempt, &a.Host, &count); err == nil && (count < 1 || count > MaxFrames) {
			err = fmt.Errorf("a run of %d", count)
		}
		for range count {
			*l = append(*l, a)
			a.Task++
		}
	}
	return err
}
