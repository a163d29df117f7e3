package simulation

import (
	"fmt"
	"strings"
	"time"

	"micaport/internal/wire"
)

// findDependency finds a job that this one waits on, directly or through others.
func (user *simUser) findDependency(is func(*simUser) bool) *simUser {
	seen := map[string]bool{}
	list := append([]string(nil), user.spec.Dependencies...)
	for len(list) > 0 {
		jobID := list[len(list)-1]
		list = list[:len(list)-1]
		dependency := user.sim.users.byJob[jobID]
		if dependency == nil || seen[jobID] {
			continue
		}
		seen[jobID] = true
		if is(dependency) {
			return dependency
		}
		list = append(list, dependency.spec.Dependencies...)
	}
	return nil
}

// isBlocked tells whether a job can't run yet, or ever, for those that it waits on.
func (user *simUser) isBlocked() bool {
	return user.findDependency(func(dependency *simUser) bool {
		return dependency.cancelRequested || dependency.alwaysFails || !dependency.allTasksDone()
	}) != nil
}

// submitPipeline has a user submit a chain of jobs shaped like a diamond, each as soon as
// those that it needs are accepted, the last in some cases only when they are over.
// Some users call one of them off after a while.
func (users *userSet) submitPipeline(cancelled, late float64) {
	id := func() string {
		users.bulkCount++
		return fmt.Sprintf("wk-%06d", 800000+users.bulkCount)
	}
	var all []string
	stage := func(needs []string, over bool, attrs string) string {
		jobID := id()
		all = append(all, jobID)
		fields := strings.Fields(attrs)
		if len(needs) > 0 {
			fields = append(fields, "after="+strings.Join(needs, ","))
		}
		var try func()
		try = func() {
			for _, r := range needs {
				dependency := users.byJob[r]
				if dependency == nil || !dependency.accepted || over && dependency.lastStatus != wire.StatusDone && dependency.lastStatus != wire.StatusCancelled {
					users.sim.after(100*time.Millisecond, try)
					return
				}
			}
			must(users.submitLine(append([]string{jobID}, fields...)))
		}
		try()
		return jobID
	}
	first := stage(nil, false, "frames=4 run=5 cards=0 cores=1 mem=2 gb=0.3 urgency=low class=bake")
	second := []string{
		stage([]string{first}, false, "frames=12 run=6 cards=0 cores=1 mem=2 gb=0.3 urgency=low class=mesh"),
		stage([]string{first}, false, "frames=8 run=7 cards=0 cores=1 mem=2 gb=0.3 urgency=low class=mesh"),
		stage([]string{first}, false, "shape=gang frames=2 run=5 cards=0 cores=1 mem=2 gb=0.3 one_zone class=solve"),
	}
	stage(second, users.sim.rng.Float64() < late, "frames=2 run=3 cards=0 cores=1 mem=2 gb=0.2 urgency=high class=last due=90")
	if users.sim.rng.Float64() < cancelled {
		users.sim.after(time.Duration(users.sim.rng.IntN(25000))*time.Millisecond, func() {
			if user := users.byJob[all[users.sim.rng.IntN(len(all))]]; user != nil && user.accepted && !user.cancelRequested {
				users.cancel(user.spec.ID)
			}
		})
	}
}

// submitFanIn has a user submit a number of small jobs at once and, as soon as all are
// accepted, one that waits on every one of them.
func (users *userSet) submitFanIn(jobID string, count int, attributes []string) error {
	var needs []string
	for range count {
		users.bulkCount++
		need := fmt.Sprintf("wk-%06d", 700000+users.bulkCount)
		needs = append(needs, need)
		if err := users.submitLine([]string{need, "frames=1", "run=4", "cards=0", "cores=0.2", "mem=0.5", "gb=0.3", "class=part"}); err != nil {
			return err
		}
	}
	var submit func()
	submit = func() {
		for _, need := range needs {
			if !users.byJob[need].accepted {
				users.sim.after(100*time.Millisecond, submit)
				return
			}
		}
		must(users.submitLine(append([]string{jobID, "after=" + strings.Join(needs, ",")}, attributes...)))
	}
	submit()
	return nil
}
