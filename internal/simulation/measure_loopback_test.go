//go:build measure

package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestMeasureAdmissionOnLoopback measures how long jobs wait from their acceptance until
// the records give them a machine, with five real controllers of which the leader is
// killed every 15 s and back after 5 s, by what owners may admit.
func TestMeasureAdmissionOnLoopback(t *testing.T) {
	const (
		length  = 135 * time.Second
		begin   = 15 * time.Second
		end     = 120 * time.Second
		workers = 200
	)
	binary := buildProgram(t)
	for _, admission := range []string{"leader", "leaderless", "guaranteed"} {
		operator := filepath.Join(t.TempDir(), "operator.ini")
		text := "[quota]\nadmission = " + admission + "\n[placement]\nidle_return_s = 300\n"
		if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s := hammeredSite(workers)
		s.Teams[0].GuaranteedGPUs, s.Teams[0].MaxGPUs = 200, 200
		l, err := NewLoopback(s, binary, t.TempDir(), operator, func(string, ...any) {})
		if err != nil {
			t.Fatal(err)
		}
		l.after(time.Second, func() {
			must(l.submitLine([]string{"wk-000000", "team=wide", fmt.Sprintf("frames=%d", workers), "run=8", "cards=2", "gb=0"}))
		})
		count := 0
		l.every(100*time.Millisecond, func() {
			if l.now > begin && l.now < end {
				count++
				must(l.submitLine([]string{fmt.Sprintf("wk-%06d", count), "team=red", "gb=0", fmt.Sprintf("frames=%d", 1+count%4), "run=3"}))
			}
		})
		l.every(15*time.Second, func() {
			if l.now > begin && l.now < end {
				l.Kill(l.controller("leader"), 5*time.Second)
			}
		})
		l.Play(length)
		if len(l.Broken) > 0 {
			t.Errorf("%s: %v", admission, l.Broken)
		}
		histogram := newWaits()
		for _, u := range l.order[1:] {
			created, known := l.accounting.createdAt[u.spec.ID]
			if !known {
				continue // never accepted
			}
			at, placed := l.accounting.placedAt[u.spec.ID]
			if !placed {
				at = l.now
			}
			must(histogram.RecordValue(max(1, (at - created).Milliseconds())))
		}
		t.Logf("%s: %v; %d workers, %d leaders, %d tasks admitted by owners", admission, histogram, len(l.up()), l.store.leaders, l.accounting.admissions)
		l.Close()
	}
}
