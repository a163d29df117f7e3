package replica

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"micaport/internal/wire"
)

// chainedJob is a job of a test's dependency graph.
type chainedJob struct {
	id           string
	expectedS    float64
	deadlineS    float64 // 0: none
	priority     string
	dependencies []string
}

// testHeartbeatInterval is the interval that is part of the time between a job's deadline and those
// of its dependencies.
const testHeartbeatInterval = 2 * time.Second

// newLinkingReplica returns an empty replica that estimates run times by the jobs' own estimates.
func newLinkingReplica() *Replica {
	return New(Config{
		Self: "n0", Controllers: []string{"n0"}, Format: wire.Format, MaxTransactionOps: 4, MaxValueBytes: 16 << 10,
		HeartbeatInterval: testHeartbeatInterval, WallClockMS: func() int64 { return 0 },
		EstimateRunTime: func(spec *wire.JobSpec) time.Duration { return time.Duration(spec.ExpectedS * float64(time.Second)) },
	}, &Names{}, noopObserver{})
}

// apply applies the records of jobs at a revision, as one batch of events.
func apply(r *Replica, revision uint64, listing bool, jobs ...chainedJob) {
	for _, job := range jobs {
		spec := &wire.JobSpec{ID: job.id, TaskCount: 1, Priority: cmp.Or(job.priority, "low"), ExpectedS: job.expectedS, DeadlineS: job.deadlineS, Dependencies: job.dependencies}
		r.PutJob(job.id, &wire.Job{Spec: spec, TaskCount: 1, NextAttempt: 1}, revision)
	}
	r.MarkApplied(revision, listing)
}

// applyOneByOne applies the records of jobs in their order, each as a batch of its own.
func applyOneByOne(r *Replica, jobs []chainedJob) {
	for _, job := range jobs {
		apply(r, r.Revision()+1, false, job)
	}
}

// pipeline returns the jobs of stages in which each job depends on all jobs of the stage before, and
// the number of dependencies. The last job has a deadline.
func pipeline(stages [][]float64) (jobs []chainedJob, links int) {
	var before []string
	for _, stage := range append(slices.Clone(stages), []float64{10}) {
		var ids []string
		for _, expectedS := range stage {
			id := fmt.Sprintf("wk-%06d", len(jobs))
			jobs = append(jobs, chainedJob{id: id, expectedS: expectedS, dependencies: before})
			ids = append(ids, id)
			links += len(before)
		}
		before = ids
	}
	last := &jobs[len(jobs)-1]
	last.deadlineS, last.priority = 10800, "high"
	return jobs, links
}

// doublingStages returns wide stages, and then pairs of a slow and a quick job, of which the slow one
// is slower than the quick one by twice as much as in the pair before. Visited depth first, the
// longer of two paths is found after the shorter one again and again.
func doublingStages(wideStages, width, pairs int) [][]float64 {
	var stages [][]float64
	for range wideStages {
		stages = append(stages, slices.Repeat([]float64{60}, width))
	}
	for pair := range pairs {
		stages = append(stages, []float64{1 + 0.001*float64(int(1)<<min(pair, 23)), 1})
	}
	return stages
}

// Guards against a deadline at the end of a long pipeline that keeps every controller computing:
// each dependency is visited at most once, however many paths lead to it.
func TestDeadlineVisitsEachDependencyOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		stages [][]float64
	}{
		{"pairs after wide stages", doublingStages(3, 70, 14)}, // more pairs would not end without the guarantee
		{"a chain", slices.Repeat([][]float64{{5}}, 1000)},
		{"wide stages only", doublingStages(10, 40, 0)},
	} {
		t.Run(test.name, func(t *testing.T) {
			jobs, links := pipeline(test.stages)
			r := newLinkingReplica()
			last := len(jobs) - 1
			applyOneByOne(r, jobs[:last])
			before := r.VisitedLinks()
			applyOneByOne(r, jobs[last:])
			if visited := r.VisitedLinks() - before; visited > uint64(links) {
				t.Errorf("the deadline of the last of %d jobs visits %d links, want at most all %d", len(jobs), visited, links)
			}
			if first := r.Find(jobs[0].id); first.Links.DeadlineMS == 0 || first.Priority != priorityOf("high") {
				t.Errorf("the first job has the deadline %d and priority %d", first.Links.DeadlineMS, first.Priority)
			}
		})
	}
}

// Guards against the same while records are listed, as after a restart: in whatever order they come,
// each link is visited a fixed number of times.
func TestListingVisitsEachDependencyAFixedNumberOfTimes(t *testing.T) {
	const visitsOfALink = 3 // counted, ranked and propagated
	jobs, links := pipeline(doublingStages(3, 70, 14))
	orders := map[string]func([]chainedJob){
		"dependencies first": func([]chainedJob) {},
		"dependents first":   func(jobs []chainedJob) { slices.Reverse(jobs) },
		"random": func(jobs []chainedJob) {
			rand.New(rand.NewPCG(1, 2)).Shuffle(len(jobs), func(i, j int) { jobs[i], jobs[j] = jobs[j], jobs[i] })
		},
	}
	for name, reorder := range orders {
		t.Run(name, func(t *testing.T) {
			listed := slices.Clone(jobs)
			reorder(listed)
			r := newLinkingReplica()
			apply(r, 1, true, listed...)
			if visited := r.VisitedLinks(); visited > uint64(visitsOfALink*links) {
				t.Errorf("%d links are visited %d times, want at most %d times each", links, visited, visitsOfALink)
			}
		})
	}
}

// A job that joins a pipeline whose ancestors are as urgent already visits its own dependencies only.
func TestLinkingVisitsOwnDependenciesOnly(t *testing.T) {
	jobs, _ := pipeline(doublingStages(3, 70, 14))
	r := newLinkingReplica()
	applyOneByOne(r, jobs)
	before := r.VisitedLinks()
	applyOneByOne(r, []chainedJob{{id: "wk-900000", expectedS: 1, dependencies: []string{jobs[0].id, jobs[200].id, jobs[len(jobs)-2].id}}})
	if visited := r.VisitedLinks() - before; visited != 3 {
		t.Errorf("%d links are visited, want 3", visited)
	}
}

// urgency is the priority and the deadline that a job has or inherits.
type urgency struct {
	priority   int
	deadlineMS int64
}

// expectedUrgency computes the urgency of all jobs, which are in topological order, by going through
// them backwards.
func expectedUrgency(jobs []chainedJob) map[string]urgency {
	expected := map[string]urgency{}
	for _, job := range jobs {
		expected[job.id] = urgency{priorityOf(job.priority), int64(job.deadlineS * 1000)}
	}
	for _, job := range slices.Backward(jobs) {
		own := expected[job.id]
		for _, id := range job.dependencies {
			dependency := expected[id]
			dependency.priority = max(dependency.priority, own.priority)
			if own.deadlineMS != 0 {
				latestStartMS := own.deadlineMS - int64(job.expectedS*1000) - testHeartbeatInterval.Milliseconds()
				if dependency.deadlineMS == 0 || latestStartMS < dependency.deadlineMS {
					dependency.deadlineMS = latestStartMS
				}
			}
			expected[id] = dependency
		}
	}
	return expected
}

// randomGraph returns jobs in topological order with random dependencies, deadlines and priorities.
func randomGraph(rng *rand.Rand) []chainedJob {
	jobs := make([]chainedJob, 2+rng.IntN(40))
	for i := range jobs {
		jobs[i] = chainedJob{id: fmt.Sprintf("wk-%06d", rng.IntN(1_000)*1_000+i), expectedS: float64(1 + rng.IntN(100))}
		if rng.IntN(4) == 0 {
			jobs[i].deadlineS = float64(1_000 + rng.IntN(1_000))
		}
		jobs[i].priority = []string{"low", "standard", "high", "critical"}[rng.IntN(4)]
		for before := range i {
			if rng.IntN(5) == 0 {
				jobs[i].dependencies = append(jobs[i].dependencies, jobs[before].id)
			}
		}
	}
	return jobs
}

// The urgency of each job is that of the most urgent chain of jobs that depend on it, in whatever
// order and batches the records are applied. A job that is alone has no inherited urgency.
func TestUrgencyOfRandomGraphs(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		jobs := randomGraph(rng)
		expected := expectedUrgency(jobs)
		listed := slices.Clone(jobs)
		rng.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
		inOrder, oneListing, lateRecords := newLinkingReplica(), newLinkingReplica(), newLinkingReplica()
		applyOneByOne(inOrder, jobs)
		apply(oneListing, 1, true, listed...)
		cut := rng.IntN(len(listed)) // a listing that lacks records, which the watch then brings
		apply(lateRecords, 1, true, listed[:cut]...)
		applyOneByOne(lateRecords, listed[cut:])
		for name, r := range map[string]*Replica{"one by one": inOrder, "in one listing": oneListing, "partly late": lateRecords} {
			for _, job := range jobs {
				found := r.Find(job.id)
				if found.Links == nil {
					continue
				}
				got, want := urgency{found.Priority, found.Links.DeadlineMS}, expected[job.id]
				if got.deadlineMS == 0 && len(job.dependencies) == 0 && want.deadlineMS == int64(job.deadlineS*1000) {
					want.deadlineMS = 0 // without dependencies, its own deadline is taken from its specification
				}
				if got != want {
					t.Fatalf("seed %d, %s: %s has %+v, want %+v", seed, name, job.id, got, want)
				}
			}
		}
	}
}

// BenchmarkDeadlineOfPipeline measures how the cost of the last job's deadline grows with the number
// of jobs: by the job, and while all records are listed.
func BenchmarkDeadlineOfPipeline(b *testing.B) {
	for _, count := range []int{250, 1000, 4000} {
		const width = 10
		jobs, links := pipeline(doublingStages((count-2*20)/width, width, 20))
		last := len(jobs) - 1
		b.Run(fmt.Sprintf("last job of %d", len(jobs)), func(b *testing.B) {
			var visited uint64
			for b.Loop() {
				b.StopTimer()
				r := newLinkingReplica()
				apply(r, 1, true, jobs[:last]...)
				before := r.VisitedLinks()
				b.StartTimer()
				apply(r, 2, false, jobs[last])
				visited = r.VisitedLinks() - before
			}
			b.ReportMetric(float64(visited), "visits/op")
			b.ReportMetric(float64(links), "links")
		})
		b.Run(fmt.Sprintf("listing of %d", len(jobs)), func(b *testing.B) {
			var visited uint64
			for b.Loop() {
				r := newLinkingReplica()
				apply(r, 1, true, jobs...)
				visited = r.VisitedLinks()
			}
			b.ReportMetric(float64(visited), "visits/op")
			b.ReportMetric(float64(links), "links")
		})
	}
}
