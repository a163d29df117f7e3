//go:build review

package standin

import (
	"fmt"
	"os"
	"time"
)

// Small returns a deployment with the numbers of the site aera-farm-next: three controllers, with
// fewer machines. Machines boot faster than nominal, as the protocol page allows at times.
func Small() Site {
	team := func(name string, gpus, most float64) Map {
		return Map{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": most}
	}
	return Site{
		Zones: []string{"bandung", "surabaya"}, NodeZones: []string{"bandung", "surabaya", "bandung"},
		Teams: []Map{
			team("candi", 80, 300), team("rumah-hijau", 120, 200), team("menara", 90, 180),
			team("pesisir", 120, 400), team("kota-lama", 120, 700), team("secretariat", 120, 300),
		},
		Times: Times{Report: 4 * time.Second, Lease: 30 * time.Second, GangWait: 35 * time.Second, GangPeer: 8 * time.Second, Cancel: 55 * time.Second},
		State: StateLimits{RPS: 250, WriteRPS: 20, ValueKB: 8, TxnOps: 12}, CloudRPS: 2, ListLag: 4 * time.Second,
		MachineType: MachineType{
			Name: "rendernode", Cores: 24, Cards: 2, MemoryGB: 96, LocalGB: 120, PullGBPerS: 0.3,
			Hourly: 6.27, SpotPrice: 1.5, BootS: 45, Halls: []string{"bandung", "surabaya"},
			CapacityPerHall: 6, SpotPerHall: 6, ActualBoot: 2 * time.Second,
		},
		CoreShare: 0.096, MemMB: 125, FDLimit: 1200, Restart: 4 * time.Second,
	}
}

// Submission returns the body of a job like those of the site files, and adds its description to
// the fleet.
func (d *Deployment) Submission(ref, team string, frames int, cores, cards, memoryGB, expectedS float64, run time.Duration) Map {
	d.Fleet.AddJob(&Job{Ref: ref, Shape: "array", Team: team, Frames: frames, Cores: cores, Cards: cards, MemoryGB: memoryGB,
		SizeGB: 0.3, Toolkit: "img-07", Run: run})
	return Map{"ref": ref, "job_class": "proxy-mesh", "studio": team, "shape": "array", "urgency": "low", "frames": frames,
		"cores": cores, "cards": cards, "memory_gb": memoryGB, "toolkit": "img-07", "size_gb": 0.3, "rigs": nil, "hall": nil,
		"same_place": false, "spread": false, "loaner": true, "expected_s": expectedS, "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": nil}
}

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Main runs a case: it creates the record, starts the site, and exits with the code that check
// returns. With TROUBLE=0 in the environment, trouble is false.
func Main(recordPath string, site Site, check func(d *Deployment, trouble bool) int) {
	record, err := NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Logf("the case begins, with its disruption: %v", trouble)
	d, err := Start(site, record)
	code := NotRun
	if err != nil {
		record.Logf("the site can't start: %v", err)
	} else {
		code = check(d, trouble)
	}
	d.Close()
	verdict := map[int]string{Held: "the rule held", Broken: "the rule was broken", NotRun: "the case could not run"}[code]
	record.Logf("%s (%d)", verdict, code)
	record.Close()
	fmt.Println(verdict)
	os.Exit(code)
}

// WaitUntilServing waits until every controller is ready and accepts a job that waits on another,
// for 40 s at most. It submits two jobs of its own.
func (d *Deployment) WaitUntilServing() bool {
	from := time.Now()
	for _, node := range d.Nodes {
		for !d.Ready(node) {
			if time.Since(from) > 20*time.Second {
				return false
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	first := d.Submission("wk-000001", "candi", 1, 1, 0, 3.2, 25, 20*time.Second)
	if status := d.Submit(first, 0).Status; status != 201 && status != 200 {
		return false
	}
	second := d.Submission("wk-000002", "candi", 1, 1, 0, 3.2, 25, 20*time.Second)
	second["waits_on"] = []string{"wk-000001"}
	for i := range d.Nodes {
		if status := d.Submit(second, i).Status; status != 201 && status != 200 {
			return false
		}
	}
	return true
}
