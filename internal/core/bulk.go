package core

import "micaport/internal/wire"

// An array with more tasks than a record can hold one by one is *bulk*: many
// small tasks that fill what is spare. What limits it is the size of its record
// and the number of puts, so its tasks are granted and placed in runs, as many
// neighbours on a machine as fit, which take a record no more than one entry,
// and their ends are gathered.

// tasksLimit bounds the active tasks of a job.
func (n *Node) tasksLimit(j *job) int {
	switch {
	case j.bulk:
		return max(n.activeLimit(), n.cfg.BulkTasks)
	case j.rec.Spec != nil && j.rec.Spec.Shape == wire.ShapeGang:
		return j.rec.Frames // all or none
	case j.rec.Spec != nil && j.rec.Spec.Shape == wire.ShapeDaemon:
		return max(n.activeLimit(), n.plannableListBytes(j)*7/8/n.runCost())
	}
	return n.activeLimit()
}

// rangeCost is what a range of done tasks takes at most in the form in which
// values are measured.
const rangeCost = 16

// recordCost bounds the size of the lists in a job's record.
func recordCost(active wire.Actives, done wire.TaskSet) int {
	return active.Cost() + rangeCost*len(done)
}

// listBytes is what the lists of a bulk job may take, in all its keys. In each some
// room is left that no run fits.
func (n *Node) listBytes(j *job) int {
	return max(100, n.valueBytes()-j.base+n.continuationKeys()*(n.cfg.ValueBytes-continuationFrame-2*n.runCost()))
}

// plannableListBytes is that for what is yet to be granted, by the limits that hold at all times.
func (n *Node) plannableListBytes(j *job) int {
	return max(100, n.listBytes(j)-n.valueBytes()+n.cfg.ValueBytes)
}

// runCost is what one more run on some machine takes.
func (n *Node) runCost() int {
	if len(n.hosts) == 0 {
		return wire.RunCost("vm-000000")
	}
	return wire.RunCost(n.hosts[len(n.hosts)-1].name) + 1
}

// resultDelay is how long a result waits for others of the same job when puts
// are scarce: one put serves them all, and the tasks of a gang end together.
// The ends of a bulk job come many a second. What fills spare room can wait for
// longer than work that somebody needs soon.
func (n *Node) resultDelay(j *job) Time {
	pause := Time(float64(resultPause) * n.scarcity())
	if j.rec == nil || j.rec.Spec == nil || j.rec.State != wire.Live || j.rec.Spec.Shape != wire.ShapeArray || len(j.rec.Active) < 2 {
		return pause
	}
	if j.prio == 0 {
		pause *= 8
	}
	if j.bulk {
		pause = max(pause, resultPause)
	}
	return min(pause, quarterOfEstimate(j))
}

// quarterOfEstimate bounds what is gathered for a job's tasks by a quarter of the time that
// they are said to take.
func quarterOfEstimate(j *job) Time {
	return max(resultPause, Time(j.rec.Spec.ExpectedS*float64(second)/4))
}

// recordRoom is the room that is left in the records of bulk jobs while an owner
// changes them. Taking single tasks out of runs can only make a record larger:
// when there is no room for that, ends wait until the whole run has ended.
type recordRoom struct {
	n    *Node
	w    *writer
	left map[int]int
}

func newRecordRoom(n *Node, w *writer) *recordRoom { return &recordRoom{n, w, map[int]int{}} }

func (x *recordRoom) of(j *job) int {
	left, known := x.left[j.ix]
	if !known {
		rec := j.rec
		if changed := x.w.recs[j.ix]; changed != nil {
			rec = changed
		}
		left = x.n.listBytes(j) - recordCost(rec.Active, rec.DoneSet)
		x.left[j.ix] = left
	}
	return left
}

// mayEnd tells whether the end of a task may be written.
func (x *recordRoom) mayEnd(k taskKey, host string) bool {
	j := x.n.jobs[k.job]
	if !j.bulk || j.rec.State != wire.Live {
		return true
	}
	if room, cost := x.of(j), wire.RunCost(host)+rangeCost; room > 2*cost {
		x.left[j.ix] = room - cost
		return true
	}
	at := x.n.activeAt(k, host)
	if at < 0 {
		return true
	}
	from, to := j.rec.Active.Run(at)
	for i := from; i < to; i++ {
		b := &j.rec.Active[i]
		if _, over := x.n.results[taskKey{k.job, b.Task, b.Attempt}]; !over {
			return false
		}
	}
	return true
}

// kept is what of a result a record takes. The done tasks of a bulk job are a
// few ranges, as the lowest are granted first; should they not be, a task is
// rather started again, which its machine answers with done at once, than a
// record made too large to be written ever again.
func (x *recordRoom) kept(j *job, rec *wire.Job, k taskKey, res result) result {
	if j.bulk && res.cause == wire.CauseDone && len(rec.DoneSet) > x.n.listBytes(j)/(2*rangeCost) &&
		!rec.DoneSet.Has(k.task-1) && !rec.DoneSet.Has(k.task+1) {
		res.cause = causeLost
	}
	return res
}

// mayAdd tells whether one more run may be put into a record.
func (x *recordRoom) mayAdd(j *job) bool {
	if !j.bulk {
		return true
	}
	if room, cost := x.of(j), x.n.runCost(); room > 2*cost {
		x.left[j.ix] = room - cost
		return true
	}
	return false
}

// maxRun bounds a run: the tasks of one machine.
const maxRun = 256

// runsLeft is how many runs the leader may still grant to a bulk job. What is
// granted but not placed counts by the machines that the grants had in mind.
// An eighth is left for runs that their owners have to split.
func (n *Node) runsLeft(j *job) int {
	cost, each := recordCost(j.rec.Active, j.rec.DoneSet), n.runCost()
	var last *host
	for i := range j.rec.Active {
		if a := &j.rec.Active[i]; a.Host == "" {
			if h := n.leader.hint[taskKey{j.ix, a.Task, a.Attempt}]; h != last {
				cost, last = cost+each, h
			}
		}
	}
	return (n.plannableListBytes(j)*7/8 - cost) / each
}

// count is how many tasks of a kind find room on the machine.
func (s *slot) count(sp *wire.Spec) int {
	k := maxRun
	for _, x := range [][2]float64{{s.cores, sp.Cores}, {s.cards, sp.Cards}, {s.mem, sp.MemoryGB}} {
		if x[1] > 0 {
			k = min(k, int((x[0]+eps)/x[1]))
		}
	}
	return max(0, k)
}

const maxGrantDelay = 4 * second

// grantDelay is how long the leader gathers what it grants to an array that
// fills spare room or is bulk. It counts from the last grant: the record of a
// bulk job changes all the time.
func (n *Node) grantDelay(j *job) Time {
	if len(j.rec.Active) == 0 || j.rec.Spec.Shape != wire.ShapeArray || j.prio > 0 && !j.bulk {
		return 0
	}
	pause := Time(float64(maxGrantDelay) * n.scarcity())
	if j.bulk {
		pause = max(pause, resultPause)
	}
	return min(pause, quarterOfEstimate(j))
}
