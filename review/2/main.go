//go:build review

// Command 2 submits a pipeline of jobs, the last of which has a deadline, and then asks for all
// jobs, as users do. See claim.txt.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"micaport/review/standin"
)

const (
	preparations = 3  // first stages of the pipeline
	width        = 70 // jobs in each of them
	pairs        = 24 // further stages, of a slow and a quick job each
	// forgottenAfter is from the rules: "a job about which no question is answered for 75 s".
	forgottenAfter = 75 * time.Second
	watchFor       = 80 * time.Second
	pollEvery      = 5 * time.Second
)

func main() { standin.Main(os.Args[1], standin.Small(), check) }

// estimates returns the estimates of the pipeline's jobs, in seconds, by stage. In each pair the
// slow job takes longer than the quick one by twice as much as in the pair before, from a
// millisecond to 140 minutes.
func estimates() [][]float64 {
	var stages [][]float64
	for range preparations {
		stage := make([]float64, width)
		for i := range stage {
			stage[i] = 60
		}
		stages = append(stages, stage)
	}
	for k := range pairs {
		stages = append(stages, []float64{1 + 0.001*float64(int(1)<<k), 1})
	}
	return stages
}

func check(d *standin.Deployment, trouble bool) int {
	if !d.WaitUntilServing() {
		return standin.NotRun
	}
	accepted := []string{"wk-000001", "wk-000002"}
	submit := func(job standin.Map) bool {
		status := d.Submit(job, len(accepted)).Status
		if status == 201 || status == 200 {
			accepted = append(accepted, job["ref"].(string))
		}
		return status == 201 || status == 200
	}
	// Each job waits on all jobs of the stage before. Ids ascend in the order of submission.
	var before []string
	for _, stage := range estimates() {
		var this []string
		for _, expectedS := range stage {
			ref := fmt.Sprintf("wk-%06d", 100+len(accepted))
			job := d.Submission(ref, "secretariat", 1, 1, 0, 3.2, expectedS, 10*time.Minute)
			if before != nil {
				job["waits_on"] = before
			}
			if !submit(job) {
				return standin.NotRun
			}
			this = append(this, ref)
		}
		before = this
	}
	last := d.Submission("wk-000900", "secretariat", 1, 1, 0, 3.2, 10, 10*time.Second)
	last["job_class"], last["urgency"], last["waits_on"] = "composite", "high", before
	if trouble {
		last["due_s"] = 10800.0
	}
	d.Record.Logf("the pipeline is accepted; its last job follows, with the deadline %v", last["due_s"])
	cpuBefore := make([]float64, len(d.Nodes))
	for i, node := range d.Nodes {
		cpuBefore[i] = node.CPU()
	}

	var mu sync.Mutex
	from := time.Now()
	answeredAt := map[string]time.Time{} // when a question about a job was last answered
	longest := map[string]time.Duration{}
	for _, ref := range accepted {
		answeredAt[ref] = from // each was answered 201 before
	}
	lastStatus := 0
	go func() { // the user of the last job
		status := d.Submit(last, 0).Status
		mu.Lock()
		defer mu.Unlock()
		lastStatus = status
	}()
	var users sync.WaitGroup
	for i, ref := range accepted {
		users.Go(func() {
			time.Sleep(pollEvery * time.Duration(i) / time.Duration(len(accepted)))
			for ask := i; time.Since(from) < watchFor; ask++ {
				asked := time.Now()
				if d.Poll(d.Nodes[ask%len(d.Nodes)], ref).Status == 200 {
					mu.Lock()
					longest[ref] = max(longest[ref], time.Since(answeredAt[ref]))
					answeredAt[ref] = time.Now()
					mu.Unlock()
				}
				time.Sleep(time.Until(asked.Add(pollEvery)))
			}
		})
	}
	users.Wait()
	mu.Lock()
	defer mu.Unlock()
	forgotten := 0
	for _, ref := range accepted {
		gap := max(longest[ref], time.Since(answeredAt[ref]))
		if gap > forgottenAfter {
			forgotten++
		}
		d.Record.Logf("longest time without an answer about %s: %.1f s", ref, gap.Seconds())
	}
	for i, node := range d.Nodes {
		d.Record.Logf("%s used %.1f s of processor time in the last %.0f s; its log ends:\n%s",
			node.Label, node.CPU()-cpuBefore[i], time.Since(from).Seconds(), d.LogTail(node, 2))
	}
	starts := d.Fleet.Starts("wk-000001")
	d.Record.Logf("answer to the last submission: %d; accepted jobs that are forgotten: %d of %d; the first job was started %d times",
		lastStatus, forgotten, len(accepted), starts)
	switch {
	case forgotten > 0:
		return standin.Broken
	case starts == 0:
		return standin.NotRun // the stand-ins don't work
	}
	return standin.Held
}
