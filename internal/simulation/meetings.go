package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// troubles are those that the operators have named for meetings of two.
type troubles struct {
	lateWrites    float64 // share of transactions without an answer that are carried out 2 to 12 s later
	lateWritesTo  time.Duration
	answersLost   float64 // share of transactions that are carried out at once and not answered
	answersLostTo time.Duration
	slowStore     float64 // times as long as usual
	slowStoreTo   time.Duration
	slowLinks     float64
	slowLinksTo   time.Duration

	lateReports   float64 // share of reports of which a copy comes again, up to well over a lease later
	lateReportsTo time.Duration
	forNext       float64 // share of reports of which a copy is kept for the next leader
	forNextTo     time.Duration
	kept          []*wire.WorkerHeartbeat

	cancelAtEnd   float64 // share of jobs that are called off at the moment of their end
	cancelAtEndTo time.Duration
	closeLooksTo  time.Duration
	odd           int // odd requests made so far
	lateStarts    int // starts carried out after the user was told that the job is cancelled
}

// storeFate is fate for a request to the state service.
func (w *World) storeFate() (time.Duration, bool, bool) {
	d, runs, answered := w.fate()
	if w.now < w.slowStoreTo {
		d = time.Duration(float64(d) * w.slowStore * (0.5 + w.rng.Float64()))
	}
	return d, runs, answered
}

// writeFate is that of a transaction with that many puts. What only compares is
// answered as ever.
func (w *World) writeFate(puts int) func() (time.Duration, bool, bool) {
	return func() (time.Duration, bool, bool) {
		switch {
		case puts > 0 && w.now < w.answersLostTo && w.rng.Float64() < w.answersLost:
			return w.latency(), true, false
		case puts > 0 && w.now < w.lateWritesTo && w.rng.Float64() < w.lateWrites:
			return 2*time.Second + time.Duration(w.rng.IntN(10000))*time.Millisecond, true, false
		}
		return w.storeFate()
	}
}

// controller finds one by its number, as the one that leads now ("leader"), as the
// next after that ("other") or as the one whose claim of a shard stands ("owner:PART").
func (w *World) controller(arg string) int {
	leader := 0
	if k := w.store.keys[wire.LeaderKey]; k != nil {
		label := decode(wire.LeaderKey, k.raw).(*wire.Leader).Controller
		leader = slices.IndexFunc(w.nodes, func(n *node) bool { return n.label == label })
	}
	switch {
	case arg == "leader":
		return leader
	case arg == "standby":
		return max(0, slices.IndexFunc(w.nodes, func(n *node) bool { return n.label == w.takeovers.standby }))
	case arg == "other":
		return (leader + 1) % len(w.nodes)
	case strings.HasPrefix(arg, "owner:"):
		label := w.owner(strings.TrimPrefix(arg, "owner:"))
		return max(0, slices.IndexFunc(w.nodes, func(n *node) bool { return n.label == label }))
	}
	ix, _ := strconv.Atoi(arg)
	return ix
}

// copyLater lets a copy of a report come again.
func (w *World) copyLater(r *wire.WorkerHeartbeat) {
	if w.now < w.lateReportsTo && w.rng.Float64() < w.lateReports {
		m := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(w.Lease*3/2))), func() { m.hearCopy(r) })
	}
	if w.now < w.forNextTo && len(w.kept) < 400 && w.rng.Float64() < w.forNext {
		w.kept = append(w.kept, r)
	}
}

func (n *node) hearCopy(r *wire.WorkerHeartbeat) {
	n.ask(func(req uint64) core.Input { return core.WorkerReported{RequestID: req, Heartbeat: r} }, func(core.Reply) {})
}

// deliverKept gives what was kept for the next leader to every controller, just
// as that begins.
func (w *World) deliverKept() {
	kept := w.kept
	w.kept = nil
	for _, r := range kept {
		for _, n := range w.nodes {
			w.after(time.Duration(w.rng.IntN(400))*time.Millisecond, func() { n.hearCopy(r) })
		}
	}
}

// cancelNow has the users of jobs that run and have long to go call them off,
// within a fifth of a second, and up to eight of their machines hang. Only jobs
// whose ids begin with prefix are meant.
func (w *World) cancelNow(count int, hang time.Duration, prefix string) {
	var long []*userSim
	for _, u := range w.order {
		if !u.accepted || u.asked || !strings.HasPrefix(u.spec.ID, prefix) {
			continue
		}
		running := false
		u.present(func(_ *workerSim, t *taskSim) {
			running = running || t.state == wire.TaskRunning && (u.spec.Shape == wire.ShapeDaemon || t.since+u.run-w.now > 30*time.Second)
		})
		if running {
			long = append(long, u)
		}
	}
	w.rng.Shuffle(len(long), func(i, k int) { long[i], long[k] = long[k], long[i] })
	hung := 0
	for _, u := range long[:min(count, len(long))] {
		w.after(time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.Withdraw(u.spec.ID) })
		u.present(func(k *workerSim, _ *taskSim) {
			if hang > 0 && hung < 8 && !k.hung {
				hung++
				w.trouble("hang", k, hang)
			}
		})
	}
}

// jobMayEnd has a user call a job off at the moment at which its last task ends.
func (w *World) jobMayEnd(u *userSim) {
	if w.now >= w.cancelAtEndTo || u.asked || !u.ended() || w.rng.Float64() >= w.cancelAtEnd {
		return
	}
	w.after(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() {
		if !u.asked {
			w.Withdraw(u.spec.ID)
		}
	})
}

// ended tells whether all tasks of a job have completed.
func (u *userSim) ended() bool {
	for t := range u.spec.TaskCount {
		if !u.w.done[wire.TaskName(u.spec.ID, t)] {
			return false
		}
	}
	return true
}

// bulkIDs is how the ids of jobs begin that "bulk" and "stream" submit.
const bulkIDs = "wk-9"

// lookClosely asks all controllers again and again within milliseconds, repeats
// the submission and calls some of the jobs that came in bulk off at once; hear
// judges the answers.
func (u *userSim) lookClosely() {
	w := u.w
	if w.now >= w.closeLooksTo {
		return
	}
	for i := range 3 {
		for _, n := range w.nodes {
			w.after(time.Duration(i*4000+w.rng.IntN(4000))*time.Microsecond, func() { u.askAt(n, wire.RequestStatus, nil) })
		}
	}
	w.after(time.Duration(w.rng.IntN(5000))*time.Microsecond, func() {
		u.askAt(w.nodes[w.rng.IntN(len(w.nodes))], wire.RequestSubmit, u.body())
	})
	if u.told != wire.StatusDone && !u.asked && strings.HasPrefix(u.spec.ID, bulkIDs) && w.rng.IntN(6) == 0 {
		w.after(time.Duration(w.rng.IntN(8000))*time.Microsecond, func() { w.Withdraw(u.spec.ID) })
	}
}

func (u *userSim) askAt(n *node, kind wire.RequestKind, body []byte) {
	asked := u.w.now
	u.w.askOf(n, kind, u.spec.ID, body, 2*time.Second, func(r core.Reply) {
		switch r.Status {
		case 200, 201:
			u.lastOK = u.w.now
			u.hear(asked, r)
		case 404, 400, 422:
			u.w.broke("forgotten", "%s: %s got %d after it was accepted", u.spec.ID, kind, r.Status)
		}
	})
}

// oddRequest repeats the submission of an unfinished job, cancels a job that is
// done, or sends one that can't run or lacks a field.
func (w *World) oddRequest() {
	var unfinished, done []*userSim
	for _, u := range w.order {
		switch {
		case u.told == wire.StatusDone:
			done = append(done, u)
		case u.accepted && !u.asked:
			unfinished = append(unfinished, u)
		}
	}
	kind := w.rng.IntN(4)
	if kind == 0 && len(unfinished) > 0 {
		u := unfinished[w.rng.IntN(len(unfinished))]
		u.askAt(w.nodes[w.rng.IntN(len(w.nodes))], wire.RequestSubmit, u.body())
		return
	}
	if kind == 1 && len(done) > 0 {
		u := done[w.rng.IntN(len(done))]
		u.askAt(w.nodes[w.rng.IntN(len(w.nodes))], wire.RequestCancel, nil)
		return
	}
	w.odd++
	u := &userSim{w: w, spec: wire.JobSpec{ID: fmt.Sprintf("wk-%06d", 700000+w.odd), Class: "c", Team: "wide", Shape: wire.ShapeArray,
		Priority: "standard", TaskCount: 1, Cores: 4, GPUs: 1, MemoryGB: 16, Image: "img", ImageGB: 2, ExpectedS: 20}}
	want := 422
	switch w.rng.IntN(4) {
	case 0:
		u.spec.Cores = 1000 // fits no machine
	case 1:
		u.spec.Team, u.spec.Shape, u.spec.TaskCount = "red", wire.ShapeGang, 9 // over the team's limit
	case 2:
		u.spec.Team = "nobody"
	default:
		want = 400
	}
	body := u.body()
	if want == 400 || w.rng.IntN(4) == 0 { // also where two faults meet
		want = 400
		body = lacking(body, w.rng.IntN(1<<20))
	}
	w.askOf(w.nodes[w.rng.IntN(len(w.nodes))], wire.RequestSubmit, u.spec.ID, body, 5*time.Second, func(r core.Reply) {
		w.judgeOdd(u.spec.ID, want, r.Status)
	})
	w.after(8*time.Second, func() {
		w.askOf(w.nodes[w.rng.IntN(len(w.nodes))], wire.RequestStatus, u.spec.ID, nil, 2*time.Second, func(r core.Reply) {
			if r.Status == 200 {
				w.broke("invented", "%s is known though it was refused", u.spec.ID)
			}
		})
	})
}

// judgeOdd checks the answer to a job that may not be accepted.
func (w *World) judgeOdd(ref string, want, status int) {
	switch status {
	case want, 0, 503:
	default:
		w.broke("accepted_wrongly", "%s got %d, not %d", ref, status, want)
	}
}

// lacking takes one of the fields that must be there out of a submission, or
// gives it a wrong type.
func lacking(body []byte, pick int) []byte {
	var m map[string]any
	must(wire.Decode(body, &m))
	fields := []string{"job_class", "studio", "shape", "urgency", "frames", "cores", "cards", "memory_gb", "toolkit", "size_gb",
		"same_place", "spread", "loaner", "expected_s", "snapshot_every_s", "snapshot_s"}
	f := fields[pick%len(fields)]
	if pick/len(fields)%2 == 0 {
		delete(m, f)
	} else {
		m[f] = []int{1}
	}
	b, err := wire.Encode(m)
	must(err)
	return b
}

// waitsBesideRoom is how long a job may be left waiting, once the troubles are
// over, while a machine that fits has room and its team is under its limit.
const waitsBesideRoom = 90 * time.Second

// leftWaiting checks that.
func (w *World) leftWaiting() {
	if w.now < w.calm || w.now%(5*time.Second) >= time.Second {
		return
	}
	var free []*roomSim
	for _, u := range w.order {
		if !u.waits() {
			u.besideRoom = 0
			continue
		}
		if free == nil {
			free = w.freeRoom()
		}
		if !u.fitsNow(free) {
			u.besideRoom = 0
			continue
		}
		if u.besideRoom == 0 {
			u.besideRoom = w.now
		}
		if w.now-max(u.besideRoom, w.calm) > waitsBesideRoom {
			w.broke("left_waiting", "%s waits beside room since %v", u.spec.ID, u.besideRoom)
		}
	}
}

// waits tells whether a job that should run has nothing on any machine.
func (u *userSim) waits() bool {
	if !u.accepted || u.asked || u.fails || u.held() || len(u.on) > 0 && slices.ContainsFunc(u.on, func(t *taskSim) bool { return t.state != wire.TaskExited }) {
		return false
	}
	return !u.ended()
}

// roomSim is what is free on a machine.
type roomSim struct {
	k                *workerSim
	cores, cards, gb float64
}

func (w *World) freeRoom() []*roomSim {
	out := []*roomSim{}
	for _, name := range sortedKeys(w.workers) {
		k := w.workers[name]
		if k.off || k.hung || k.sick || k.recallAt > 0 || w.now < k.deafTo || w.now < k.muteTo {
			continue
		}
		f := w.cloud.flavor
		r := &roomSim{k, f.Cores, f.GPUs, f.MemoryGB}
		for _, t := range k.tasks {
			if t.state != wire.TaskExited && t.u != nil {
				r.take(t.u)
			}
		}
		out = append(out, r)
	}
	return out
}

func (r *roomSim) take(u *userSim) {
	r.cores -= u.spec.Cores
	r.cards -= u.spec.GPUs
	r.gb -= u.spec.MemoryGB
}

// fitsNow tells whether one task of an array or daemon, or all of a gang in one
// zone, would find room, and the team's limit allows it.
func (u *userSim) fitsNow(free []*roomSim) bool {
	sp, w := &u.spec, u.w
	need := 1
	if sp.Shape == wire.ShapeGang {
		need = sp.TaskCount
	}
	cores, cards := w.teamUse(sp.Team)
	if beyond(w.accounting.teams[sp.Team].limit, cores+float64(need)*sp.Cores, cards+float64(need)*sp.GPUs) {
		return false
	}
	zones := map[string]int{}
	for _, r := range free {
		if r.k.m.Spot && !sp.AllowSpot || sp.Zone != "" && sp.Zone != r.k.m.Zone {
			continue
		}
		for k := *r; k.cores >= sp.Cores && k.cards >= sp.GPUs && k.gb >= sp.MemoryGB && zones[r.k.m.Zone] < need; k.take(u) {
			zones[r.k.m.Zone]++
		}
	}
	for _, c := range zones {
		if c >= need {
			return true
		}
	}
	return false
}
