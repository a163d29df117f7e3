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

// controllerIndex finds one by its number, as the one that leads now ("leader"), as the
// next after that ("other") or as the one whose claim of a shard stands ("owner:PART").
func (sim *Simulation) controllerIndex(arg string) int {
	leader := 0
	if record := sim.store.records[wire.LeaderKey]; record != nil {
		label := mustDecodeRecord(wire.LeaderKey, record.raw).(*wire.Leader).Controller
		leader = slices.IndexFunc(sim.controllers, func(ctrl *controller) bool { return ctrl.label == label })
	}
	switch {
	case arg == "leader":
		return leader
	case arg == "standby":
		return max(0, slices.IndexFunc(sim.controllers, func(ctrl *controller) bool { return ctrl.label == sim.leadership.standby }))
	case arg == "other":
		return (leader + 1) % len(sim.controllers)
	case strings.HasPrefix(arg, "owner:"):
		label := sim.store.shardOwner(strings.TrimPrefix(arg, "owner:"))
		return max(0, slices.IndexFunc(sim.controllers, func(ctrl *controller) bool { return ctrl.label == label }))
	}
	ix, _ := strconv.Atoi(arg)
	return ix
}

// heartbeatReplays delivers copies of workers' heartbeats late.
type heartbeatReplays struct {
	sim       *Simulation
	delayed   timedValue // share of heartbeats of which a copy comes again, up to one and a half worker leases later
	retention timedValue // share of heartbeats of which a copy is retained for the next leader
	retained  []*wire.WorkerHeartbeat
	stashed   *wire.WorkerHeartbeat // that a script delivers
}

// observe lets a copy of a report come again.
func (replays *heartbeatReplays) observe(heartbeat *wire.WorkerHeartbeat) {
	if replays.sim.draw(replays.delayed) {
		peer := replays.sim.randomController()
		replays.sim.after(2*time.Second+time.Duration(replays.sim.rng.Int64N(int64(replays.sim.WorkerLease*3/2))), func() { peer.deliverHeartbeat(heartbeat) })
	}
	if len(replays.retained) < 400 && replays.sim.draw(replays.retention) {
		replays.retained = append(replays.retained, heartbeat)
	}
}

func (ctrl *controller) deliverHeartbeat(heartbeat *wire.WorkerHeartbeat) {
	ctrl.request(func(req uint64) core.Input { return core.WorkerReported{RequestID: req, Heartbeat: heartbeat} }, func(core.Reply) {})
}

// deliverRetained gives what was kept for the next leader to every controller, just
// as that begins.
func (replays *heartbeatReplays) deliverRetained() {
	kept := replays.retained
	replays.retained = nil
	for _, heartbeat := range kept {
		for _, ctrl := range replays.sim.controllers {
			replays.sim.after(time.Duration(replays.sim.rng.IntN(400))*time.Millisecond, func() { ctrl.deliverHeartbeat(heartbeat) })
		}
	}
}

// cancelRunning has the users of jobs that run and have long to go call them off,
// within a fifth of a second, and up to eight of their machines hang. Only jobs
// whose ids begin with prefix are meant.
func (users *userSet) cancelRunning(count int, hang time.Duration, prefix string) {
	var long []*simUser
	for _, user := range users.ordered {
		if !user.accepted || user.cancelRequested || !strings.HasPrefix(user.spec.ID, prefix) {
			continue
		}
		running := false
		user.eachActiveTask(func(_ *simWorker, task *simTask) {
			running = running || task.state == wire.TaskRunning && (user.spec.Shape == wire.ShapeDaemon || task.stateSince+user.runtime-users.sim.now > 30*time.Second)
		})
		if running {
			long = append(long, user)
		}
	}
	users.sim.rng.Shuffle(len(long), func(i, k int) { long[i], long[k] = long[k], long[i] })
	hung := 0
	for _, user := range long[:min(count, len(long))] {
		users.sim.after(time.Duration(users.sim.rng.IntN(200))*time.Millisecond, func() { users.cancel(user.spec.ID) })
		user.eachActiveTask(func(worker *simWorker, _ *simTask) {
			if hang > 0 && hung < 8 && !worker.hung {
				hung++
				users.sim.fleet.injectFault("hang", worker, hang)
			}
		})
	}
}

// maybeCancelAtEnd has a user call a job off at the moment at which its last task ends.
func (users *userSet) maybeCancelAtEnd(user *simUser) {
	if users.sim.now >= users.cancelAtEnd.until || user.cancelRequested || !user.allTasksDone() || users.sim.rng.Float64() >= users.cancelAtEnd.value {
		return
	}
	users.sim.after(time.Duration(users.sim.rng.IntN(1500))*time.Millisecond, func() {
		if !user.cancelRequested {
			users.cancel(user.spec.ID)
		}
	})
}

// allTasksDone tells whether all tasks of a job have completed.
func (user *simUser) allTasksDone() bool {
	for t := range user.spec.TaskCount {
		if !user.sim.users.completedTasks[wire.TaskName(user.spec.ID, t)] {
			return false
		}
	}
	return true
}

// bulkIDPrefix is how the ids of jobs begin that "bulk" and "stream" submit.
const bulkIDPrefix = "wk-9"

// pollClosely asks all controllers again and again within milliseconds, repeats
// the submission and calls some of the jobs that came in bulk off at once; hear
// judges the answers.
func (user *simUser) pollClosely() {
	sim := user.sim
	if sim.now >= sim.users.closePollingUntil {
		return
	}
	for i := range 3 {
		for _, ctrl := range sim.controllers {
			sim.after(time.Duration(i*4000+sim.rng.IntN(4000))*time.Microsecond, func() { user.requestAt(ctrl, wire.RequestStatus, nil) })
		}
	}
	sim.after(time.Duration(sim.rng.IntN(5000))*time.Microsecond, func() {
		user.requestAt(sim.controllers[sim.rng.IntN(len(sim.controllers))], wire.RequestSubmit, user.submissionBody())
	})
	if user.lastStatus != wire.StatusDone && !user.cancelRequested && strings.HasPrefix(user.spec.ID, bulkIDPrefix) && sim.rng.IntN(6) == 0 {
		sim.after(time.Duration(sim.rng.IntN(8000))*time.Microsecond, func() { sim.users.cancel(user.spec.ID) })
	}
}

func (user *simUser) requestAt(ctrl *controller, kind wire.RequestKind, body []byte) {
	asked := user.sim.now
	user.sim.users.requestAt(ctrl, kind, user.spec.ID, body, 2*time.Second, func(reply core.Reply) {
		switch reply.Status {
		case 200, 201:
			user.lastAnsweredAt = user.sim.now
			user.checkStatus(asked, reply)
		case 404, 400, 422:
			user.sim.rules.violated("forgotten", "%s: %s got %d after it was accepted", user.spec.ID, kind, reply.Status)
		}
	})
}

// sendIrregularRequest repeats the submission of an unfinished job, cancels a job that is
// done, or sends one that can't run or lacks a field.
func (users *userSet) sendIrregularRequest() {
	var unfinished, done []*simUser
	for _, user := range users.ordered {
		switch {
		case user.lastStatus == wire.StatusDone:
			done = append(done, user)
		case user.accepted && !user.cancelRequested:
			unfinished = append(unfinished, user)
		}
	}
	kind := users.sim.rng.IntN(4)
	if kind == 0 && len(unfinished) > 0 {
		user := unfinished[users.sim.rng.IntN(len(unfinished))]
		user.requestAt(users.sim.controllers[users.sim.rng.IntN(len(users.sim.controllers))], wire.RequestSubmit, user.submissionBody())
		return
	}
	if kind == 1 && len(done) > 0 {
		user := done[users.sim.rng.IntN(len(done))]
		user.requestAt(users.sim.controllers[users.sim.rng.IntN(len(users.sim.controllers))], wire.RequestCancel, nil)
		return
	}
	users.irregularCount++
	user := &simUser{sim: users.sim, spec: wire.JobSpec{ID: fmt.Sprintf("wk-%06d", 700000+users.irregularCount), Class: "c", Team: "wide", Shape: wire.ShapeArray,
		Priority: "standard", TaskCount: 1, Cores: 4, GPUs: 1, MemoryGB: 16, Image: "img", ImageGB: 2, ExpectedS: 20}}
	want := 422
	switch users.sim.rng.IntN(4) {
	case 0:
		user.spec.Cores = 1000 // fits no machine
	case 1:
		user.spec.Team, user.spec.Shape, user.spec.TaskCount = "red", wire.ShapeGang, 9 // over the team's limit
	case 2:
		user.spec.Team = "nobody"
	default:
		want = 400
	}
	body := user.submissionBody()
	if want == 400 || users.sim.rng.IntN(4) == 0 { // also where two faults meet
		want = 400
		body = withInvalidField(body, users.sim.rng.IntN(1<<20))
	}
	users.requestAt(users.sim.controllers[users.sim.rng.IntN(len(users.sim.controllers))], wire.RequestSubmit, user.spec.ID, body, 5*time.Second, func(reply core.Reply) {
		users.checkRejection(user.spec.ID, want, reply.Status)
	})
	users.sim.after(8*time.Second, func() {
		users.requestAt(users.sim.controllers[users.sim.rng.IntN(len(users.sim.controllers))], wire.RequestStatus, user.spec.ID, nil, 2*time.Second, func(reply core.Reply) {
			if reply.Status == 200 {
				users.sim.rules.violated("invented", "%s is known though it was refused", user.spec.ID)
			}
		})
	})
}

// checkRejection checks the answer to a job that may not be accepted.
func (users *userSet) checkRejection(jobID string, want, status int) {
	switch status {
	case want, 0, 503:
	default:
		users.sim.rules.violated("accepted_wrongly", "%s got %d, not %d", jobID, status, want)
	}
}

// withInvalidField takes one of the fields that must be there out of a submission, or
// gives it a wrong type.
func withInvalidField(body []byte, pick int) []byte {
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

// maxIdleCapacityWait is how long a job may be left waiting, once the troubles are
// over, while a machine that fits has room and its team is under its limit.
const maxIdleCapacityWait = 90 * time.Second

// checkWaitingJobs checks that.
func (rules *ruleChecker) checkWaitingJobs() {
	if rules.sim.now < rules.faultsEndAt || rules.sim.now%(5*time.Second) >= time.Second {
		return
	}
	var free []*freeCapacity
	for _, user := range rules.sim.users.ordered {
		if !user.isWaiting() {
			user.idleCapacitySince = 0
			continue
		}
		if free == nil {
			free = rules.freeCapacity()
		}
		if !user.fits(free) {
			user.idleCapacitySince = 0
			continue
		}
		if user.idleCapacitySince == 0 {
			user.idleCapacitySince = rules.sim.now
		}
		if rules.sim.now-max(user.idleCapacitySince, rules.faultsEndAt) > maxIdleCapacityWait {
			rules.violated("left_waiting", "%s waits beside room since %v", user.spec.ID, user.idleCapacitySince)
		}
	}
}

// isWaiting tells whether a job that should run has nothing on any machine.
func (user *simUser) isWaiting() bool {
	if !user.accepted || user.cancelRequested || user.alwaysFails || user.isBlocked() || len(user.tasks) > 0 && slices.ContainsFunc(user.tasks, func(task *simTask) bool { return task.state != wire.TaskExited }) {
		return false
	}
	return !user.allTasksDone()
}

// freeCapacity is what is free on a machine.
type freeCapacity struct {
	worker                *simWorker
	cores, gpus, memoryGB float64
}

func (rules *ruleChecker) freeCapacity() []*freeCapacity {
	out := []*freeCapacity{}
	for _, name := range sortedKeys(rules.sim.fleet.workers) {
		worker := rules.sim.fleet.workers[name]
		if worker.terminated || worker.hung || worker.failsTasks || worker.reclaimAt > 0 || rules.sim.now < worker.inboundCutUntil || rules.sim.now < worker.outboundCutUntil {
			continue
		}
		f := rules.sim.cloud.machineType
		room := &freeCapacity{worker, f.Cores, f.GPUs, f.MemoryGB}
		for _, task := range worker.tasks {
			if task.state != wire.TaskExited && task.user != nil {
				room.reserve(task.user)
			}
		}
		out = append(out, room)
	}
	return out
}

func (room *freeCapacity) reserve(user *simUser) {
	room.cores -= user.spec.Cores
	room.gpus -= user.spec.GPUs
	room.memoryGB -= user.spec.MemoryGB
}

// fits tells whether one task of an array or daemon, or all of a gang in one
// zone, would find room, and the team's limit allows it.
func (user *simUser) fits(free []*freeCapacity) bool {
	spec, sim := &user.spec, user.sim
	need := 1
	if spec.Shape == wire.ShapeGang {
		need = spec.TaskCount
	}
	cores, gpus := sim.rules.teamUsage(spec.Team)
	if exceedsLimit(sim.quota.teams[spec.Team].limit, cores+float64(need)*spec.Cores, gpus+float64(need)*spec.GPUs) {
		return false
	}
	zones := map[string]int{}
	for _, room := range free {
		if room.worker.machine.Spot && !spec.AllowSpot || spec.Zone != "" && spec.Zone != room.worker.machine.Zone {
			continue
		}
		for k := *room; k.cores >= spec.Cores && k.gpus >= spec.GPUs && k.memoryGB >= spec.MemoryGB && zones[room.worker.machine.Zone] < need; k.reserve(user) {
			zones[room.worker.machine.Zone]++
		}
	}
	for _, c := range zones {
		if c >= need {
			return true
		}
	}
	return false
}
