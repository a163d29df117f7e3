package simulation

import (
	"fmt"
	"strings"
	"time"
)

// dependencyPollInterval is the interval at which submitWhen checks the dependencies of a job.
const dependencyPollInterval = 100 * time.Millisecond

// findDependency returns a matching job among the direct and transitive dependencies of the
// user's job, or nil.
func (u *simUser) findDependency(matches func(*simUser) bool) *simUser {
	seen := map[string]bool{}
	pending := append([]string(nil), u.spec.Dependencies...)
	for len(pending) > 0 {
		jobID := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		dependency := u.sim.users.byJob[jobID]
		if dependency == nil || seen[jobID] {
			continue
		}
		seen[jobID] = true
		if matches(dependency) {
			return dependency
		}
		pending = append(pending, dependency.spec.Dependencies...)
	}
	return nil
}

// isBlocked reports whether a dependency prevents the job from running, for now or for ever.
func (u *simUser) isBlocked() bool {
	return u.findDependency(func(dependency *simUser) bool {
		return dependency.cancelRequested || dependency.alwaysFails || !dependency.allTasksDone()
	}) != nil
}

// submitWhen submits a job with attributes and dependencies as soon as ready reports true for
// each of the dependencies.
func (u *userSet) submitWhen(ready func(dependency *simUser) bool, jobID string, dependencies, attributes []string) {
	for _, id := range dependencies {
		if dependency := u.byJob[id]; dependency == nil || !ready(dependency) {
			u.sim.after(dependencyPollInterval, func() { u.submitWhen(ready, jobID, dependencies, attributes) })
			return
		}
	}
	line := append([]string{jobID}, attributes...)
	if len(dependencies) > 0 {
		line = append(line, "after="+strings.Join(dependencies, ","))
	}
	must(u.submitLine(line))
}

// isAccepted reports whether the job was accepted.
func (u *simUser) isAccepted() bool { return u.accepted }

// hasFinalStatus reports whether the last status that the user received is done or cancelled.
func (u *simUser) hasFinalStatus() bool { return u.accepted && isFinalStatus(u.lastStatus) }

// Attributes of the jobs of a pipeline.
const (
	pipelineFirst  = "frames=4 run=5 cards=0 cores=1 mem=2 gb=0.3 urgency=low class=bake"
	pipelineArrayA = "frames=12 run=6 cards=0 cores=1 mem=2 gb=0.3 urgency=low class=mesh"
	pipelineArrayB = "frames=8 run=7 cards=0 cores=1 mem=2 gb=0.3 urgency=low class=mesh"
	pipelineGang   = "shape=gang frames=2 run=5 cards=0 cores=1 mem=2 gb=0.3 one_zone class=solve"
	pipelineLast   = "frames=2 run=3 cards=0 cores=1 mem=2 gb=0.2 urgency=high class=last due=90"
)

// submitPipeline submits jobs whose dependencies form a diamond, each as soon as its
// dependencies are accepted. In a share lateShare of the pipelines the last job is submitted
// only when its dependencies have ended. In a share cancelShare one of the jobs is cancelled
// within 25 s.
func (u *userSet) submitPipeline(cancelShare, lateShare float64) {
	sim := u.sim
	var all []string
	submit := func(ready func(*simUser) bool, attributes string, dependencies ...string) string {
		u.generatedJobs++
		jobID := fmt.Sprintf("wk-%06d", 800000+u.generatedJobs)
		all = append(all, jobID)
		u.submitWhen(ready, jobID, dependencies, strings.Fields(attributes))
		return jobID
	}
	first := submit((*simUser).isAccepted, pipelineFirst)
	second := []string{
		submit((*simUser).isAccepted, pipelineArrayA, first),
		submit((*simUser).isAccepted, pipelineArrayB, first),
		submit((*simUser).isAccepted, pipelineGang, first),
	}
	ready := (*simUser).isAccepted
	if sim.rng.Float64() < lateShare {
		ready = (*simUser).hasFinalStatus
	}
	submit(ready, pipelineLast, second...)
	if sim.rng.Float64() < cancelShare {
		sim.after(time.Duration(sim.rng.IntN(25000))*time.Millisecond, func() {
			if user := u.byJob[all[sim.rng.IntN(len(all))]]; user != nil && user.accepted && !user.cancelRequested {
				u.cancel(user.spec.ID)
			}
		})
	}
}

// submitFanIn submits count small jobs and, as soon as all of them are accepted, a job that
// depends on each of them.
func (u *userSet) submitFanIn(jobID string, count int, attributes []string) error {
	var dependencies []string
	for range count {
		u.generatedJobs++
		id := fmt.Sprintf("wk-%06d", 700000+u.generatedJobs)
		dependencies = append(dependencies, id)
		if err := u.submitLine([]string{id, "frames=1", "run=4", "cards=0", "cores=0.2", "mem=0.5", "gb=0.3", "class=part"}); err != nil {
			return err
		}
	}
	u.submitWhen((*simUser).isAccepted, jobID, dependencies, attributes)
	return nil
}
