package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"micaport/internal/wire"
)

// taskEnded notes the end of a task for its record and what it says of the
// machine.
func (n *Node) taskEnded(h *host, k taskKey, t *wire.Task) {
	if _, known := n.results[k]; known {
		return
	}
	n.results[k] = result{h.name, t.Cause, n.now, h.termOf(n)}
	j := n.jobs[k.job]
	switch t.Cause {
	case wire.CauseDone:
		h.errJobs, h.sick = nil, false
		h.images.add(j.image)
	case wire.CauseError:
		if h.errJobs == nil {
			h.errJobs = map[int]bool{}
		}
		if j.rec.Errors < 3 {
			h.errJobs[k.job] = true
		}
		// Two jobs failing here, or one that runs elsewhere, speak against
		// the machine rather than the job.
		if n.errorsOn(h) >= 2 || j.rec.DoneSet.Count() > 0 {
			h.sick = true
		}
		n.ownInfoAt = 0 // before more is granted to it
	case wire.CauseFull:
		h.fullUntil = n.now + 2*n.cfg.Report
	}
	n.log(LogDebug, "task ended", "job", j.ref, "task", k.task, "attempt", k.attempt, "host", h.name, "cause", t.Cause)
}

// errorsOn counts the jobs that failed on a machine since something last succeeded
// there. A job that has failed on three machines and never succeeded says nothing
// against them: a few such jobs once put one sound machine after the other under
// quarantine, until their users withdrew them.
func (n *Node) errorsOn(h *host) int {
	c := 0
	for jx := range h.errJobs {
		c += boolToInt(!n.jobs[jx].suspect)
	}
	return c
}

// usable tells whether an owner may place tasks on a machine of its own.
func (n *Node) usable(h *host) bool {
	if h.part < 0 {
		return false
	}
	p := n.parts[h.part]
	return h.term == p.rev && (h.token || h.newborn) && h.ignored == 0 && n.now-h.heard < 3*n.cfg.Report && h.leavingAt == 0 &&
		!h.sick && !h.retiring && !h.returned && n.now >= h.fullUntil
}

// ownerTick writes what has become of tasks, and places granted ones.
func (n *Node) ownerTick() {
	if n.now < n.ownerAt {
		return
	}
	n.ownerAt = n.now + 60*time.Millisecond + Time(len(n.live))*20*time.Microsecond
	anyValid := false
	for _, p := range n.parts {
		if n.valid(p) {
			anyValid = true
			n.silentHosts(p)
		}
	}
	if !anyValid {
		n.owner.drop()
		return
	}
	if !n.owner.ready(n) {
		return
	}
	w := newWriter(n)
	var room ownRoom
	n.applyResults(w, &room, true)
	n.applyStops(w)
	n.settleGangs(w)
	n.placeGranted(w, &room)
	n.applyResults(w, &room, false)
	n.admitWork(w, &room)
	w.send(&n.owner, nil)
}

// silentHosts gives up the tasks of machines whose lease must have run out.
func (n *Node) silentHosts(p *part) {
	limit := n.cfg.Lease + n.cfg.Lease/1000 + second
	for _, h := range p.hosts {
		if len(h.on) == 0 {
			continue
		}
		last := p.bound
		if h.term == p.rev {
			last = max(last, h.answered)
		}
		if !h.returned && n.now-last <= limit {
			continue
		}
		for i := range h.on {
			k := h.on[i].taskKey
			if _, known := n.results[k]; !known && h.on[i].part == p.ix {
				n.results[k] = result{h.name, causeLost, n.now, h.termOf(n)}
				n.log(LogInfo, "task lost with its machine", "job", n.jobs[k.job].ref, "task", k.task, "host", h.name)
			}
		}
	}
}

// forgetHosts lets go of machines that are gone, so that nothing is spent on
// what has been.
func (n *Node) forgetHosts() {
	if n.now < n.tidyAt {
		return
	}
	n.tidyAt = n.now + 5*second
	n.forgetSettledGrants()
	for _, p := range n.parts {
		for i := len(p.hosts) - 1; i >= 0; i-- {
			h := p.hosts[i]
			silent := n.valid(p) && h.term == p.rev && n.now-h.heard > 3*n.cfg.Lease
			if len(h.on) == 0 && (h.returned || silent || h.info.lost && !n.holds(p) && n.now-p.changed > 3*n.cfg.Lease) {
				n.setPart(h, -1)
				h.info, h.tasks, h.started, h.direct, h.errJobs, h.images = view{}, nil, nil, nil, nil, nil
				h.term = 0 // if it reports again, it is learnt anew
			}
		}
	}
}

// pressing tells whether others wait for the end of a task to be written: a
// daemon or gang that is to start anew, a user who waits for the end of a job.
// The end of one task of an array among others can wait behind placings; by
// the time its turn comes, one put often serves several.
func (n *Node) pressing(k taskKey, res result) bool {
	j := n.jobs[k.job]
	if j.rec == nil || j.rec.State != wire.Live {
		return false
	}
	return j.rec.Spec.Shape != wire.ShapeArray || res.cause != wire.CauseDone || len(j.rec.Active) == 1
}

// applyResults writes what became of tasks, either what presses or the rest.
func (n *Node) applyResults(w *writer, room *ownRoom, pressing bool) {
	keys := n.sortedResults()
	oldest := map[int]Time{}
	for _, k := range keys {
		if at, seen := oldest[k.job]; !seen || n.results[k].at < at {
			oldest[k.job] = n.results[k].at
		}
	}
	slack := newRecordRoom(n, w)
	for _, k := range keys {
		res := n.results[k]
		if w.ended[k] || n.pressing(k, res) != pressing && w.recs[k.job] == nil || n.leader.batch.holds(n.jobs[k.job]) {
			continue
		}
		if n.awaitsNewSession(res) || n.now-oldest[k.job] < n.resultDelay(n.jobs[k.job]) {
			continue
		}
		a := n.active(k, res.host)
		if a == nil || !n.valid(n.parts[a.Part]) || n.parts[a.Part].rev != res.term {
			delete(n.results, k) // written, or found out in a term that is over
			continue
		}
		if !slack.mayEnd(k, res.host) {
			continue
		}
		rec := w.job(n.jobs[k.job])
		if rec == nil {
			return
		}
		// Once: an end that is applied twice would count an error twice and
		// put two tasks where one was.
		w.ended[k] = true
		w.parts[a.Part] = true
		was := *a
		finish(rec, k, slack.kept(n.jobs[k.job], rec, k, res))
		if slack.mayAdd(n.jobs[k.job]) {
			n.placeAnew(w, rec, was, res, room)
		}
	}
}

// sortedResults lists the tasks of which we know what became of them, in a fixed order.
func (n *Node) sortedResults() []taskKey {
	return slices.SortedFunc(maps.Keys(n.results), func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
	})
}

// awaitsNewSession tells whether a lost task should wait a moment for its machine: one
// that has lost its session is the best place for the same task, as it has the image,
// once it has shown that it knows our term.
func (n *Node) awaitsNewSession(res result) bool {
	h := n.hostOf(res.host)
	return res.cause == causeLost && h.part >= 0 && n.now-res.at < sessionPause && h.term == n.parts[h.part].rev &&
		!h.token && n.now-h.heard < sessionPause
}

// placeAnew gives a task that its machine has lost another machine of the same
// part: the grant stands, only the choice of the machine is the owner's. It
// saves two puts, and when a whole zone has lost its tasks that is most of the
// time it takes to have them back.
func (n *Node) placeAnew(w *writer, rec *wire.Job, was wire.Active, res result, room *ownRoom) {
	if rec.State != wire.Live || rec.Spec.Shape == wire.ShapeGang || was.Stop != wire.Keep ||
		res.cause != causeLost && res.cause != wire.CauseHalted {
		return
	}
	j := n.jobNamed(rec.Spec.Ref)
	s := room.slots(n).best(j, func(s *slot) bool { return s.part == was.Part }, nil)
	if s == nil || s.h.name == was.Host && s.h.session <= was.Session {
		return
	}
	s.take(rec.Spec)
	rec.Active = append(rec.Active, wire.Active{Task: was.Task, Attempt: w.attempt(j, rec), Part: was.Part, Host: s.h.name, Session: s.h.session, Admitted: was.Admitted})
	n.log(LogDebug, "placed anew", "job", j.ref, "task", was.Task, "host", s.h.name)
}

// finish takes a task that is gone out of its record.
func finish(rec *wire.Job, k taskKey, res result) {
	rec.Active = slices.DeleteFunc(rec.Active, func(a wire.Active) bool {
		return a.Task == k.task && a.Attempt == k.attempt && a.Host == res.host
	})
	gang := rec.Spec.Shape == wire.ShapeGang
	switch {
	case res.cause == wire.CauseDone && rec.State == wire.Live:
		rec.Errors, rec.Avoid = 0, nil
		if gang {
			// The tasks of a gang complete together.
			rec.DoneSet = wire.Range(0, rec.Frames)
		} else if rec.Spec.Shape == wire.ShapeArray {
			rec.DoneSet = rec.DoneSet.With(k.task)
		}
		return
	case res.cause == wire.CauseError:
		rec.Errors++
		if !slices.Contains(rec.Avoid, res.host) {
			rec.Avoid = append(rec.Avoid, res.host)
		}
		if len(rec.Avoid) > 4 {
			rec.Avoid = rec.Avoid[1:]
		}
	}
	if gang && rec.State == wire.Live {
		failGang(rec, k.attempt)
	}
}

// failGang stops what is left of a gang's attempt. Tasks that are saving on
// order go on; those not yet placed are given up at once.
func failGang(rec *wire.Job, attempt uint64) {
	rec.Active = slices.DeleteFunc(rec.Active, func(a wire.Active) bool {
		return a.Attempt == attempt && a.Host == ""
	})
	for i := range rec.Active {
		if a := &rec.Active[i]; a.Attempt == attempt && a.Stop == wire.Keep {
			a.Stop = wire.Abandon
		}
	}
}

// applyStops marks gangs that have to leave a machine for an orderly stop.
func (n *Node) applyStops(w *writer) {
	var list []int
	for jx := range n.stopJobs {
		list = append(list, jx)
	}
	slices.Sort(list)
	for _, jx := range list {
		j := n.jobs[jx]
		if j.rec == nil || j.rec.State != wire.Live || !slices.ContainsFunc(j.rec.Active, func(a wire.Active) bool { return a.Stop == wire.Keep }) {
			delete(n.stopJobs, jx)
			continue
		}
		rec := w.job(j)
		if rec == nil {
			return
		}
		markStop(rec)
	}
}

// markStop asks every task of a job to save and exit.
func markStop(rec *wire.Job) {
	rec.Active = slices.DeleteFunc(rec.Active, func(a wire.Active) bool { return a.Host == "" })
	for i := range rec.Active {
		if rec.Active[i].Stop == wire.Keep {
			rec.Active[i].Stop = wire.Preempt
		}
	}
}

// ownRoom is the room on our machines, worked out when it is first needed.
type ownRoom struct{ set *slotSet }

func (r *ownRoom) slots(n *Node) *slotSet {
	if r.set == nil {
		r.set = n.ownSlots()
	}
	return r.set
}

// ownSlots lists the room on the machines that we own, less what is held.
func (n *Node) ownSlots() *slotSet {
	slots := newSlotSet(n)
	for _, p := range n.parts {
		if !n.valid(p) {
			continue
		}
		for _, h := range p.hosts {
			n.work++
			if n.usable(h) {
				if s := n.slotOf(h); s != nil {
					if j, kept := n.keptHosts[h.ix]; kept && n.now-n.keptHostsAt < 5*second {
						s.keptFor = j + 1
					}
					// What is proven gone leaves its room, though its record
					// still shows it; the new placing goes into the same put.
					for i := range h.on {
						if _, over := n.results[h.on[i].taskKey]; over && n.jobs[h.on[i].job].rec.Spec != nil {
							s.give(n.jobs[h.on[i].job].rec.Spec, 1)
						}
					}
					slots.add(s)
				}
			}
		}
	}
	n.takeHolds(slots)
	if n.leader.batch.active {
		taken := map[*host][]*wire.Spec{}
		for _, x := range n.leader.placing {
			taken[x.h] = append(taken[x.h], x.sp)
		}
		for _, s := range slots.all {
			for _, sp := range taken[s.h] {
				s.take(sp)
			}
		}
	}
	return slots
}

// placeGranted chooses machines for the tasks granted to our parts.
func (n *Node) placeGranted(w *writer, room *ownRoom) {
	for _, jx := range n.live {
		j := n.jobs[jx]
		if j.unplaced == 0 || n.leader.batch.holds(j) || !slices.ContainsFunc(j.rec.Active, func(a wire.Active) bool {
			return a.Host == "" && n.valid(n.parts[a.Part])
		}) {
			continue
		}
		n.placeJob(w, j, room.slots(n))
	}
}

// grantPatience is how long an owner looks for room for a grant before it
// gives it back.
const grantPatience = 2500 * time.Millisecond

func (n *Node) placeJob(w *writer, j *job, slots *slotSet) {
	sp := j.rec.Spec
	if j.rec.State != wire.Live {
		if rec := w.job(j); rec != nil {
			n.giveBack(w, rec)
		}
		return
	}
	if sp.Shape == wire.ShapeGang {
		n.placeGang(w, j, slots)
		return
	}
	slack := newRecordRoom(n, w)
	var s *slot
	for i := range j.rec.Active {
		a := &j.rec.Active[i]
		if a.Host != "" || !n.valid(n.parts[a.Part]) {
			continue
		}
		if !j.bulk || s == nil || s.part != a.Part || !s.fits(sp) {
			if s = slots.best(j, func(s *slot) bool { return s.part == a.Part }, nil); s != nil && !slack.mayAdd(j) {
				s = nil
			}
		}
		k := taskKey{j.ix, a.Task, a.Attempt}
		if s == nil && !n.outOfPatience(k) {
			continue
		}
		rec := w.job(j)
		if rec == nil {
			return
		}
		w.parts[a.Part] = true
		if s == nil {
			rec.Active = slices.DeleteFunc(rec.Active, func(b wire.Active) bool {
				return b.Task == a.Task && b.Attempt == a.Attempt && b.Host == ""
			})
			continue
		}
		s.take(sp)
		setHost(rec, a, s.h)
	}
}

func setHost(rec *wire.Job, a *wire.Active, h *host) {
	for i := range rec.Active {
		if b := &rec.Active[i]; b.Task == a.Task && b.Attempt == a.Attempt {
			b.Host, b.Session = h.name, h.session
			return
		}
	}
}

// giveBack removes the grants to our parts that were never placed.
func (n *Node) giveBack(w *writer, rec *wire.Job) {
	rec.Active = slices.DeleteFunc(rec.Active, func(a wire.Active) bool {
		mine := a.Host == "" && n.valid(n.parts[a.Part])
		if mine {
			w.parts[a.Part] = true
		}
		return mine
	})
}

// forgetSettledGrants drops what is remembered of grants that have been placed or given
// back. It is called now and then; the memory is bounded by the grants that wait. A bound
// on their number would be one on the site: when it was reached everything was forgotten,
// so that with more grants waiting than it no grant ever ran out of patience.
func (n *Node) forgetSettledGrants() {
	for k := range n.grantSeen {
		if !n.jobs[k.job].awaitsPlacing(k) {
			delete(n.grantSeen, k)
		}
	}
}

// awaitsPlacing tells whether the record holds a grant that has no machine yet.
func (j *job) awaitsPlacing(k taskKey) bool {
	return j.rec != nil && j.unplaced > 0 && slices.ContainsFunc(j.rec.Active, func(a wire.Active) bool {
		return a.Task == k.task && a.Attempt == k.attempt && a.Host == ""
	})
}

// outOfPatience tells whether a grant has waited too long for room.
func (n *Node) outOfPatience(k taskKey) bool {
	at, seen := n.grantSeen[k]
	if !seen {
		n.grantSeen[k] = n.now
		return false
	}
	return n.now-at > grantPatience
}
