//go:build measure

package simulation

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// waits is a distribution of waiting times in milliseconds.
type waits struct{ *hdrhistogram.Histogram }

func newWaits() waits { return waits{hdrhistogram.New(1, 600_000, 3)} }

func (h waits) String() string {
	return fmt.Sprintf("n %d, p50 %d ms, p90 %d, p99 %d, max %d", h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max())
}

// admissionDay is a day of the measurement: how leaders fail, and how much is asked for.
type admissionDay struct {
	name    string
	trouble func(w *World)
	every   time.Duration // between two jobs
}

// endLeaders ends the leader every so often, which is back after a while.
func endLeaders(every, back time.Duration) func(*World) {
	return func(w *World) {
		w.every(every, func() {
			if w.now > 60*time.Second {
				w.Crash(w.controller("leader"), back)
			}
		})
	}
}

// TestMeasureAdmission measures how long jobs wait from their acceptance until the records
// give a task of theirs a machine, and
// how much of a team's limit is in use, by what owners may admit.
func TestMeasureAdmission(t *testing.T) {
	days := []admissionDay{
		{"quiet, a third of the limit", func(*World) {}, 900 * time.Millisecond},
		{"quiet, at the limit", func(*World) {}, 250 * time.Millisecond},
		{"the leader ends every 12 s, a third of the limit", endLeaders(12*time.Second, 4*time.Second), 900 * time.Millisecond},
		{"the leader ends every 12 s, at the limit", endLeaders(12*time.Second, 4*time.Second), 250 * time.Millisecond},
		{"the leader stands still for 9 s every 20 s, a third of the limit", func(w *World) {
			w.every(20*time.Second, func() {
				if w.now > 60*time.Second {
					w.Freeze(w.controller("leader"), 9*time.Second)
				}
			})
		}, 900 * time.Millisecond},
	}
	days = append(days, admissionDay{"nobody leads for 30 s, twice, a third of the limit", func(w *World) {
		w.every(300*time.Millisecond, func() {
			inSpell := w.now > 90*time.Second && w.now < 120*time.Second || w.now > 200*time.Second && w.now < 230*time.Second
			if k := w.store.keys[wire.LeaderKey]; inSpell && k != nil {
				w.Crash(w.controller("leader"), 500*time.Millisecond)
			}
		})
	}, 900 * time.Millisecond})
	for _, day := range days {
		for admission := core.AdmitNothing; admission <= core.AdmitGuaranteed; admission++ {
			histogram, used, admitted := newWaits(), 0.0, 0
			for seed := range uint64(5) {
				admitted += measureDay(t, day, admission, seed, histogram, &used)
			}
			t.Logf("%s, admission %d: %v; %.0f%% of the limit used, %d tasks admitted by owners", day.name, admission, histogram, used/5*100, admitted)
		}
	}
}

// measureDay plays a day with one seed: 400 machines, five controllers, 240 s of jobs of
// one to four tasks of 15 s after a minute for the machines to come up.
func measureDay(t *testing.T, day admissionDay, admission core.Admission, seed uint64, histogram waits, used *float64) int {
	const begin, end = 60 * time.Second, 300 * time.Second
	s := Defaults()
	s.Seed, s.Nodes, s.Capacity, s.Idle, s.Admission, s.WriteRPS = seed+1, []string{"a", "b", "a", "b", "a"}, 100, 400*time.Second, admission, 60
	s.Teams = []core.Team{{Name: "pool", GuaranteedGPUs: 120, MaxGPUs: 120}, {Name: "warm", MaxGPUs: 1000}}
	w := New(s, func(string, ...any) {})
	must(w.submitLine([]string{"wk-000000", "team=warm", "frames=80", "run=30", "cards=2", "ordinary"}))
	day.trouble(w)
	count := 0
	w.every(day.every, func() {
		if w.now > begin && w.now < end {
			count++
			must(w.submitLine([]string{fmt.Sprintf("wk-%06d", count), "team=pool", fmt.Sprintf("frames=%d", 1+count%4), "run=15", "ordinary", "gb=0.1"}))
		}
	})
	sum, samples := 0.0, 0
	w.every(time.Second, func() {
		if w.now > begin+20*time.Second && w.now < end {
			sum += w.accounting.teams["pool"].byLeader.GPUs
			for _, r := range w.accounting.teams["pool"].admitted {
				sum += r.GPUs
			}
			samples++
		}
	})
	w.Run(end + 60*time.Second)
	if len(w.Broken) > 0 {
		t.Errorf("%s, admission %d, seed %d: %v", day.name, admission, seed, w.Broken)
	}
	for _, u := range w.order[1:] {
		at, placed := w.accounting.placedAt[u.spec.ID]
		if !placed {
			at = w.now
		}
		must(histogram.RecordValue(max(1, (at - w.accounting.createdAt[u.spec.ID]).Milliseconds())))
	}
	*used += sum / float64(samples) / 120
	return w.accounting.admissions
}
