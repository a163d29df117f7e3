//go:build review

// Command 7 checks the answers to submissions, and that accepted jobs run, when the state service
// lowers its limits and the cloud offers twenty machine types.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"micaport/review/lab2"
)

const (
	flavors = 20
	jobs    = 8
	waiting = 90 * time.Second // no job may wait this long while a machine that fits has room
	limit   = 112 * time.Second
)

func main() {
	start := time.Now()
	options := lab2.Farm()
	options.Flavors = nil
	for i := range flavors {
		options.Flavors = append(options.Flavors, lab2.Flavor{
			SKU: fmt.Sprintf("rendernode-%02d", i+1), Cores: float64(8 + i), Cards: 2, MemoryGB: 64, LocalGB: 120, PullGBs: 1,
			Hourly: 6.27 + float64(i), SpotPrice: 1.5 + float64(i)/10, BootS: 2, Halls: []string{"bandung", "surabaya"},
		})
	}
	lowered := lab2.StateLimits{RPS: 250, WriteRPS: 15, ValueKB: 2, TxnOps: 4}
	if lab2.Trouble() {
		options.Next = map[string]any{"value_kb": lowered.ValueKB, "txn_ops": lowered.TxnOps, "write_rps": lowered.WriteRPS}
	}
	site, err := lab2.NewSite(options, os.Args[1])
	if err != nil {
		site.Fail(err.Error())
	}
	last := options.Flavors[flavors-1].SKU
	for _, hall := range options.Flavors[0].Halls {
		site.Cloud.SetCapacity(last, hall, false, jobs/2)
	}
	if err := site.StartAll(); err != nil {
		site.Fail(err.Error())
	}
	service := func(number int) lab2.Spec {
		spec := lab2.Spec{Ref: fmt.Sprintf("wk-%06d", number), JobClass: "walkthrough", Studio: "kota-lama", Shape: "daemon", Urgency: "critical", Frames: 1,
			Cores: 8, Cards: 2, MemoryGB: 29, Toolkit: "img-1", SizeGB: 1, Rigs: []string{last}}
		site.Jobs.Upload(spec, 0)
		return spec
	}
	for deadline := time.Now().Add(10 * time.Second); site.Leader() < 0 || site.State.Value("m/types") == nil; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			site.Fail("no leader")
		}
	}
	time.Sleep(3 * time.Second)
	if lab2.Trouble() {
		site.State.SetLimits(lowered)
	}
	// Jobs that a machine type fits, each sent to one controller. They are cancelled at once if accepted.
	wrong := 0
	for i := range site.Nodes {
		switch status := site.Submit(i, service(100+i)); status {
		case http.StatusUnprocessableEntity:
			wrong++
		case http.StatusCreated, http.StatusOK:
			for status := 0; status != http.StatusOK; status, _ = site.Withdraw(i, fmt.Sprintf("wk-%06d", 100+i)) {
			}
		default:
			site.Fail(fmt.Sprintf("submission: status %d", status))
		}
	}
	// Jobs of the same kind that the leader accepts.
	leader := site.Leader()
	for i := range jobs {
		if status := site.Submit(leader, service(200+i)); status != http.StatusCreated && status != http.StatusOK {
			site.Fail(fmt.Sprintf("submission to the leader: status %d", status))
		}
	}
	waitedSince, longest, unstarted := time.Time{}, time.Duration(0), jobs
	for time.Since(start) < limit && unstarted > 0 && longest < waiting {
		time.Sleep(500 * time.Millisecond)
		unstarted = 0
		for i := range jobs {
			if site.Jobs.Starts(fmt.Sprintf("wk-%06d", 200+i)) == 0 {
				unstarted++
			}
		}
		idle := []string{}
		for _, m := range site.Cloud.Machines() {
			if m.Worker != nil && !site.Cloud.Gone(m) && m.SKU == last && m.Worker.Running() == 0 {
				idle = append(idle, m.Name)
			}
		}
		switch {
		case unstarted == 0 || len(idle) == 0:
			waitedSince = time.Time{}
		case waitedSince.IsZero():
			waitedSince = time.Now()
		default:
			longest = max(longest, time.Since(waitedSince))
		}
		site.Rec.Log("waiting", "jobs", unstarted, "idle_machines", idle)
	}
	for i := range jobs {
		site.Poll(leader, fmt.Sprintf("wk-%06d", 200+i))
	}
	if wrong == 0 && unstarted > 0 && longest < waiting {
		site.Fail("the time did not suffice")
	}
	site.Exit(wrong > 0 || longest >= waiting, fmt.Sprintf("%d of %d controllers answered 422 to a job that can run; of %d accepted jobs %d have not started, for %.0f s while a machine that fits was idle",
		wrong, len(site.Nodes), jobs, unstarted, longest.Seconds()))
}
