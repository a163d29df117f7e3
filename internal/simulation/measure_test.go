//go:build measure

package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"micaport/internal/core"
	"micaport/internal/replica"
	"micaport/internal/wire"
)

// waitHistogram is a distribution of waiting times in milliseconds.
type waitHistogram struct{ *hdrhistogram.Histogram }

// newWaitHistogram returns an empty distribution of up to ten minutes.
func newWaitHistogram() waitHistogram { return waitHistogram{hdrhistogram.New(1, 600_000, 3)} }

func (h waitHistogram) String() string {
	return fmt.Sprintf("n %d, p50 %d ms, p90 %d, p99 %d, max %d", h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max())
}

// admissionLoad is a load to measure: how leaders fail, and how often a job is submitted.
type admissionLoad struct {
	name   string
	faults func(sim *Simulation)
	every  time.Duration // interval between two submissions
}

// crashLeaders returns a fault that crashes the leader every interval after the first
// minute. Each restarts after downtime.
func crashLeaders(interval, downtime time.Duration) func(*Simulation) {
	return func(sim *Simulation) {
		sim.every(interval, func() {
			if sim.now > 60*time.Second {
				sim.controllerNamed("leader").crash(downtime)
			}
		})
	}
}

// TestMeasureAdmission measures how long jobs wait from their acceptance until one of their
// tasks is assigned a machine in the records, and how much of a team's limit is used. It
// compares the settings of what shard owners may admit.
func TestMeasureAdmission(t *testing.T) {
	loads := []admissionLoad{
		{"quiet, a third of the limit", func(*Simulation) {}, 900 * time.Millisecond},
		{"quiet, at the limit", func(*Simulation) {}, 250 * time.Millisecond},
		{"the leader crashes every 12 s, a third of the limit", crashLeaders(12*time.Second, 4*time.Second), 900 * time.Millisecond},
		{"the leader crashes every 12 s, at the limit", crashLeaders(12*time.Second, 4*time.Second), 250 * time.Millisecond},
		{"the leader freezes for 9 s every 20 s, a third of the limit", func(sim *Simulation) {
			sim.every(20*time.Second, func() {
				if sim.now > 60*time.Second {
					sim.controllerNamed("leader").freeze(9 * time.Second)
				}
			})
		}, 900 * time.Millisecond},
	}
	loads = append(loads, admissionLoad{"no leader for 30 s, twice, a third of the limit", func(sim *Simulation) {
		sim.every(300*time.Millisecond, func() {
			withoutLeader := sim.now > 90*time.Second && sim.now < 120*time.Second || sim.now > 200*time.Second && sim.now < 230*time.Second
			if record := sim.store.records[wire.LeaderKey]; withoutLeader && record != nil {
				sim.controllerNamed("leader").crash(500 * time.Millisecond)
			}
		})
	}, 900 * time.Millisecond})
	for _, load := range loads {
		for admission := core.AdmitNothing; admission <= core.AdmitGuaranteed; admission++ {
			histogram, used, admitted := newWaitHistogram(), 0.0, 0
			for seed := range uint64(5) {
				admitted += measureAdmissionLoad(t, load, admission, seed, histogram, &used)
			}
			t.Logf("%s, admission %d: %v; %.0f%% of the limit used, %d tasks admitted by owners", load.name, admission, histogram, used/5*100, admitted)
		}
	}
}

// measureAdmissionLoad runs a load with one seed, on 400 machines with five controllers. After
// a minute in which the machines boot, it submits jobs for 240 s, each of one to four tasks of
// 15 s. It adds the waiting times and the used part of the limit to histogram and used, and
// returns how many tasks shard owners admitted.
func measureAdmissionLoad(t *testing.T, load admissionLoad, admission core.Admission, seed uint64, histogram waitHistogram, used *float64) int {
	const begin, end = 60 * time.Second, 300 * time.Second
	s := Defaults()
	s.Seed, s.ControllerZones, s.Capacity, s.IdleTimeout, s.Admission, s.WriteRPS = seed+1, loopbackZones, 100, 400*time.Second, admission, 60
	s.Teams = []replica.Team{{Name: "pool", GuaranteedGPUs: 120, MaxGPUs: 120}, {Name: "warm", MaxGPUs: 1000}}
	sim := New(s, discardLog)
	must(sim.users.submitLine([]string{"wk-000000", "team=warm", "frames=80", "run=30", "cards=2", "ordinary"}))
	load.faults(sim)
	count := 0
	sim.every(load.every, func() {
		if sim.now > begin && sim.now < end {
			count++
			must(sim.users.submitLine([]string{fmt.Sprintf("wk-%06d", count), "team=pool", fmt.Sprintf("frames=%d", 1+count%4), "run=15", "ordinary", "gb=0.1"}))
		}
	})
	sum, samples := 0.0, 0
	sim.every(time.Second, func() {
		if sim.now > begin+20*time.Second && sim.now < end {
			sum += sim.quota.teams["pool"].admittedByLeader.GPUs
			for _, admitted := range sim.quota.teams["pool"].admittedByShard {
				sum += admitted.GPUs
			}
			samples++
		}
	})
	sim.Run(end + 60*time.Second)
	if len(sim.rules.violations) > 0 {
		t.Errorf("%s, admission %d, seed %d: %v", load.name, admission, seed, sim.rules.violations)
	}
	for _, user := range sim.users.ordered[1:] { // without the job for which the machines boot
		placedAt, placed := sim.quota.placedAt[user.spec.ID]
		if !placed {
			placedAt = sim.now // counted as waiting until the end
		}
		must(histogram.RecordValue(max(1, (placedAt - sim.quota.createdAt[user.spec.ID]).Milliseconds())))
	}
	*used += sum / float64(samples) / 120
	return sim.quota.admissions
}
