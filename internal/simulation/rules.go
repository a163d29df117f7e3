package simulation

import (
	"fmt"
	"time"

	"micaport/internal/wire"
)

// present walks over the tasks that are on machines, in a fixed order. Tasks
// that still fetch their image count, which is stricter than the protocol.
func (w *World) present(f func(k *workerSim, t *taskSim)) {
	for _, u := range w.order {
		u.present(f)
	}
}

// present is that of World for the tasks of one job.
func (u *userSim) present(f func(k *workerSim, t *taskSim)) {
	for _, t := range u.on {
		if t.state != wire.TaskExited && !t.k.off {
			f(t.k, t)
		}
	}
}

// started checks the rules that a start can break.
func (w *World) started(k *workerSim, t *taskSim) {
	sp := &t.u.spec
	w.Starts[t.ref]++
	if t.u.withdrawn > 0 {
		w.lateStarts++
	}
	name := fmt.Sprintf("%s/%d#%d", t.ref, t.task, t.attempt)
	if at := w.attempts[name]; at != "" && at != k.m.Name {
		w.broke("attempt_recurs", "%s on %s and then on %s", name, at, k.m.Name)
	}
	w.attempts[name] = k.m.Name
	for _, ref := range sp.Dependencies {
		if a := w.users[ref]; a == nil || !a.ended() {
			w.broke("too_early", "%s/%d before %s is done", t.ref, t.task, ref)
		}
	}
	zones := map[string]int{}
	t.u.present(func(k2 *workerSim, x *taskSim) {
		if x != t && x.task == t.task {
			w.broke("ran_twice", "%s/%d: attempt %d on %s, attempt %d on %s", t.ref, t.task, t.attempt, k.m.Name, x.attempt, k2.m.Name)
		}
		zones[k2.m.Zone]++
	})
	if cores, cards := w.teamUse(sp.Team); w.overLimit(sp.Team, cores, cards) {
		w.broke("quota", "%s uses %v cards and %v cores", sp.Team, cards, cores)
	}
	switch {
	case k.m.Spot && !sp.AllowSpot:
		w.broke("wrong_place", "%s on a spot machine", t.ref)
	case sp.Zone != "" && sp.Zone != k.m.Zone:
		w.broke("wrong_place", "%s in zone %s", t.ref, k.m.Zone)
	case sp.SameZone && len(zones) > 1:
		w.broke("wrong_place", "%s in zones %v", t.ref, zones)
	case sp.Spread && zones[k.m.Zone] > (sp.TaskCount+1)/2:
		w.broke("wrong_place", "%s has %d of %d tasks in zone %s", t.ref, zones[k.m.Zone], sp.TaskCount, k.m.Zone)
	}
	if t.u.withdrawn > 0 && w.now-t.u.withdrawn > w.Cancel {
		w.broke("ran_cancelled", "%s started %v after", t.ref, w.now-t.u.withdrawn)
	}
}

// check looks at the world every second.
func (w *World) check() {
	served, mute := 0, 0
	for _, ref := range sortedKeys(w.users) {
		u := w.users[ref]
		if !u.accepted {
			continue
		}
		if w.now-u.lastOK > 90*time.Second {
			mute++
		} else if w.now-u.lastOK < 6*time.Second {
			served++
		}
	}
	if mute > 0 && served > mute {
		w.broke("forgotten", "%d jobs get no answers while %d do", mute, served)
	}
	// Once all troubles are over each job is judged by itself.
	for _, u := range w.order {
		if quiet := w.now - max(u.lastOK, w.calm); u.accepted && u.withdrawn == 0 && quiet > 75*time.Second {
			w.broke("forgotten", "%s: no answer for %v, the last was %d", u.spec.ID, quiet, u.lastCode)
		}
	}
	w.present(func(k *workerSim, t *taskSim) {
		if u := t.u; u.withdrawn > 0 && w.now-u.withdrawn > w.Cancel {
			w.broke("ran_cancelled", "%s/%d on %s %v after (%s)", t.ref, t.task, k.m.Name, w.now-u.withdrawn, t.state)
		}
	})
	w.leftWaiting()
	for _, name := range sortedKeys(w.workers) {
		k := w.workers[name]
		if k.off || k.hung {
			continue
		}
		for _, key := range sortedKeys(k.tasks) {
			w.gangTask(k, k.tasks[key])
		}
	}
}

// gangTask plays a gang task's view of its peers.
func (w *World) gangTask(k *workerSim, t *taskSim) {
	if t.u == nil || t.u.spec.Shape != wire.ShapeGang {
		return
	}
	switch t.state {
	case wire.TaskWaitingForGang:
		if w.now-t.since > w.GangWait {
			k.end(t, wire.CauseGangIncomplete)
		} else {
			w.gather(t)
		}
	case wire.TaskRunning:
		peers := 0
		t.u.present(func(k2 *workerSim, x *taskSim) {
			if x.attempt == t.attempt && !k2.hung && (x.state == wire.TaskRunning || x.state == wire.TaskCheckpointing) {
				peers++
			}
		})
		if peers == t.u.spec.TaskCount || w.done[wire.TaskName(t.ref, t.task)] {
			t.lostAt = 0
		} else if t.lostAt == 0 {
			t.lostAt = w.now
		} else if w.now-t.lostAt > w.GangPeer {
			k.end(t, wire.CausePeerLost)
		}
	}
}

// beginWithin is how long the largest jobs of a class may take to begin.
const beginWithin = 240 * time.Second

// served checks what is checked at the end of a day: at least half of every
// class, of every team and of the largest jobs of each class has begun, the
// largest in time. Jobs that came too late to be judged, that were cancelled
// or that can't run are left out.
func (w *World) served() []string {
	type share struct{ begun, all int }
	shares := map[string]*share{}
	largest := map[string]int{}
	count := func(what string, begun bool) {
		s := shares[what]
		if s == nil {
			s = &share{}
			shares[what] = s
		}
		s.all++
		s.begun += map[bool]int{true: 1}[begun]
	}
	judged := func(u *userSim) bool {
		return u.accepted && !u.asked && !u.fails && w.now-u.since > beginWithin && !u.held()
	}
	for _, u := range w.order {
		if judged(u) {
			largest[u.spec.Class] = max(largest[u.spec.Class], u.spec.TaskCount)
		}
	}
	for _, u := range w.order {
		if !judged(u) {
			continue
		}
		count("class "+u.spec.Class, u.begun > 0)
		count("team "+u.spec.Team, u.begun > 0)
		if u.spec.TaskCount == largest[u.spec.Class] {
			count("largest of class "+u.spec.Class, u.begun > 0 && u.begun-u.since <= beginWithin)
		}
	}
	var faults []string
	for _, what := range sortedKeys(shares) {
		if s := shares[what]; 2*s.begun < s.all {
			faults = append(faults, fmt.Sprintf("served: %d of %d of %s", s.begun, s.all, what))
		}
	}
	return faults
}

// teamUse is what the tasks of a team that are on machines take.
func (w *World) teamUse(team string) (cores, cards float64) {
	for _, u := range w.order {
		if u.spec.Team == team {
			u.present(func(*workerSim, *taskSim) {
				cores += u.spec.Cores
				cards += u.spec.GPUs
			})
		}
	}
	return cores, cards
}

// overLimit tells whether a use is beyond a team's limit, or where operators have changed
// that, beyond the highest that has been in force: what was placed before a limit was
// lowered may start after. What is placed is judged by the accounting.
func (w *World) overLimit(team string, cores, cards float64) bool {
	return beyond(w.accounting.highest[team], cores, cards)
}

// beyond tells whether a use is beyond a limit, in which 0 is none.
func beyond(limit wire.Resources, cores, cards float64) bool {
	return limit.GPUs > 0 && cards > limit.GPUs+rounding || limit.Cores > 0 && cores > limit.Cores+rounding
}
