//go:build review

// Command 8 checks that all replicas of a service start when the state service lowers its limits.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"micaport/review/lab2"
)

const (
	frames  = 180
	waiting = 90 * time.Second // no job may wait this long while a machine that fits has room
	limit   = 112 * time.Second
)

func main() {
	start := time.Now()
	lab2.Quiet = true
	options := lab2.Farm()
	options.Flavors[0].PullGBs = 1
	lowered := lab2.StateLimits{RPS: 250, WriteRPS: 15, ValueKB: 2, TxnOps: 4}
	if lab2.Trouble() {
		options.Next = map[string]any{"value_kb": lowered.ValueKB, "txn_ops": lowered.TxnOps, "write_rps": lowered.WriteRPS}
	}
	site, err := lab2.NewSite(options, os.Args[1])
	if err != nil {
		site.Fail(err.Error())
	}
	site.Cloud.BootTime = func(*lab2.Machine) time.Duration { return 2 * time.Second } // "at times machines are up within a second or two"
	site.Cloud.SetCapacity("rendernode", "bandung", false, 4)
	if err := site.StartAll(); err != nil {
		site.Fail(err.Error())
	}
	time.Sleep(4 * time.Second)
	if lab2.Trouble() {
		site.State.SetLimits(lowered)
	}
	spec := lab2.Spec{Ref: "wk-000001", JobClass: "walkthrough", Studio: "kota-lama", Shape: "daemon", Urgency: "critical", Frames: frames,
		Cores: 0.2, Cards: 0, MemoryGB: 0.2, Toolkit: "img-1", SizeGB: 0.5}
	site.Jobs.Upload(spec, 0)
	if status := site.Submit(0, spec); status != http.StatusCreated && status != http.StatusOK {
		site.Fail(fmt.Sprintf("submission: status %d", status))
	}
	started, longest, waitedSince := 0, time.Duration(0), time.Time{}
	for time.Since(start) < limit && started < frames && longest < waiting {
		time.Sleep(500 * time.Millisecond)
		started = site.Jobs.Starts(spec.Ref)
		room := 0 // tasks that fit on machines that are up
		for _, m := range site.Cloud.Machines() {
			if m.Worker != nil && !site.Cloud.Gone(m) {
				room += int(m.Flavor.Cores/spec.Cores) - m.Worker.Running()
			}
		}
		switch {
		case started == frames || room == 0:
			waitedSince = time.Time{}
		case waitedSince.IsZero():
			waitedSince = time.Now()
		default:
			longest = max(longest, time.Since(waitedSince))
		}
		site.Rec.Log("replicas", "started", started, "of", frames, "room_for", room)
	}
	site.Poll(0, spec.Ref)
	if started < frames && longest < waiting {
		site.Fail("the time did not suffice")
	}
	site.Exit(longest >= waiting, fmt.Sprintf("%d of %d replicas have started; the others waited %.0f s while machines that fit had room", started, frames, longest.Seconds()))
}
