//go:build measure

package simulation

import (
	"fmt"
	"testing"
	"time"
)

// TestMeasureAdmissionOnLoopback measures how long jobs wait from their acceptance until one
// of their tasks is assigned a machine in the records, with five real controllers whose
// leader is killed every 15 s and restarted after 5 s. It compares the settings of what shard
// owners may admit.
func TestMeasureAdmissionOnLoopback(t *testing.T) {
	const (
		length  = 135 * time.Second
		begin   = 15 * time.Second
		end     = 120 * time.Second
		workers = 200
	)
	binary := buildProgram(t)
	for _, admission := range []string{"leader", "leaderless", "guaranteed"} {
		operatorText := "[quota]\nadmission = " + admission + "\n[placement]\nidle_return_s = 300\n"
		loopback := startLoopback(t, failoverSettings(workers), binary, operatorText)
		loopback.after(time.Second, func() {
			must(loopback.users.submitLine([]string{"wk-000000", "team=wide", fmt.Sprintf("frames=%d", workers), "run=8", "cards=2", "gb=0"}))
		})
		count := 0
		loopback.every(100*time.Millisecond, func() {
			if loopback.now > begin && loopback.now < end {
				count++
				must(loopback.users.submitLine([]string{fmt.Sprintf("wk-%06d", count), "team=red", "gb=0", fmt.Sprintf("frames=%d", 1+count%4), "run=3"}))
			}
		})
		loopback.every(15*time.Second, func() {
			if loopback.now > begin && loopback.now < end {
				loopback.Kill(loopback.controllerNamed("leader"), 5*time.Second)
			}
		})
		loopback.RunInRealTime(length)
		if len(loopback.rules.violations) > 0 {
			t.Errorf("%s: %v", admission, loopback.rules.violations)
		}
		histogram := newWaitHistogram()
		for _, user := range loopback.users.ordered[1:] { // without the job for which all workers boot
			created, known := loopback.quota.createdAt[user.spec.ID]
			if !known {
				continue // never accepted
			}
			placedAt, placed := loopback.quota.placedAt[user.spec.ID]
			if !placed {
				placedAt = loopback.now // counted as waiting until the end
			}
			must(histogram.RecordValue(max(1, (placedAt - created).Milliseconds())))
		}
		t.Logf("%s: %v; %d workers, %d leaders, %d tasks admitted by owners", admission, histogram, len(loopback.fleet.running()), loopback.store.leaderChanges, loopback.quota.admissions)
		loopback.Close()
	}
}
