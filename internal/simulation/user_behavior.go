package simulation

import (
	"strings"
	"time"

	"micaport/internal/wire"
)

// Limits of cancelRunning.
const (
	longRemaining   = 30 * time.Second // a task with more time left than this counts as long-running
	maxHungAtCancel = 8                // the most workers that are made to hang
)

// cancelRunning cancels up to count random long-running jobs whose ids begin with prefix, all
// within 200 ms. Some of the workers that run their tasks hang for the time given by hang.
func (u *userSet) cancelRunning(count int, hang time.Duration, prefix string) {
	sim := u.sim
	var long []*simUser
	for _, user := range u.ordered {
		if user.accepted && !user.cancelRequested && strings.HasPrefix(user.spec.ID, prefix) && user.hasLongRunningTask() {
			long = append(long, user)
		}
	}
	sim.rng.Shuffle(len(long), func(i, k int) { long[i], long[k] = long[k], long[i] })
	hung := 0
	for _, user := range long[:min(count, len(long))] {
		sim.after(time.Duration(sim.rng.IntN(200))*time.Millisecond, func() { u.cancel(user.spec.ID) })
		user.eachActiveTask(func(worker *simWorker, _ *simTask) {
			if hang > 0 && hung < maxHungAtCancel && !worker.hung {
				hung++
				sim.fleet.injectFault(faultHang, worker, hang)
			}
		})
	}
}

// hasLongRunningTask reports whether a task of the job is running and has more than
// longRemaining left. Running tasks of services always count.
func (u *simUser) hasLongRunningTask() bool {
	long := false
	u.eachActiveTask(func(_ *simWorker, task *simTask) {
		remaining := task.stateSince + u.runtime - u.sim.now
		long = long || task.state == wire.TaskRunning && (u.spec.Shape == wire.ShapeDaemon || remaining > longRemaining)
	})
	return long
}

// scheduleCancelAtEnd is called whenever a task of the user's job completes. If all of its
// tasks have completed, the user cancels the job within 1.5 s with the probability cancelAtEnd.
func (u *userSet) scheduleCancelAtEnd(user *simUser) {
	sim := u.sim
	if sim.now >= u.cancelAtEnd.until || user.cancelRequested || !user.allTasksDone() || !sim.draw(u.cancelAtEnd) {
		return
	}
	sim.after(time.Duration(sim.rng.IntN(1500))*time.Millisecond, func() {
		if !user.cancelRequested {
			u.cancel(user.spec.ID)
		}
	})
}

// startPollBurst requests the status of the job from each controller three times within 12 ms
// and repeats the submission. It also cancels the job with a probability of 1/6 if the job is
// neither done nor being cancelled and its id is from nextGeneratedID. From pollBurstsUntil on,
// startPollBurst does nothing.
func (u *simUser) startPollBurst() {
	sim := u.sim
	if sim.now >= sim.users.pollBurstsUntil {
		return
	}
	for i := range 3 {
		for _, ctrl := range sim.controllers {
			sim.after(time.Duration(i*4000+sim.rng.IntN(4000))*time.Microsecond, func() { u.requestAt(ctrl, wire.RequestStatus, nil) })
		}
	}
	sim.after(time.Duration(sim.rng.IntN(5000))*time.Microsecond, func() {
		u.requestAt(sim.randomController(), wire.RequestSubmit, u.submissionBody())
	})
	if u.lastStatus != wire.StatusDone && !u.cancelRequested &&
		strings.HasPrefix(u.spec.ID, generatedIDPrefix) &&
		sim.rng.IntN(6) == 0 {
		sim.after(time.Duration(sim.rng.IntN(8000))*time.Microsecond, func() { sim.users.cancel(u.spec.ID) })
	}
}
