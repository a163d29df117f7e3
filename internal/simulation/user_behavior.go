package simulation

import (
	"strings"
	"time"

	"micaport/internal/wire"
)

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
