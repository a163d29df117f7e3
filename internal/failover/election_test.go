package failover

import (
	"slices"
	"testing"
	"time"
)

func TestElect(t *testing.T) {
	eligible := func(name string) Candidate { return Candidate{Name: name, StoreOK: true} }
	for _, c := range []struct {
		name       string
		current    string
		candidates []Candidate
		want       string
	}{
		{"the first by name", "", []Candidate{eligible("c"), eligible("b")}, "b"},
		{"the current one stays", "c", []Candidate{eligible("b"), eligible("c")}, "c"},
		{"the state service refuses the current one", "c", []Candidate{eligible("b"), {Name: "c"}}, "b"},
		{"one is cut off, the current one is silent", "c", []Candidate{{Name: "b", StoreOK: true, CutOff: true}, {Name: "c", StoreOK: true, Silence: candidateHeartbeatTimeout}, eligible("d")}, "d"},
		{"no candidates", "c", nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Elect(c.current, c.candidates); got != c.want {
				t.Errorf("elected %q, want %q", got, c.want)
			}
		})
	}
}

// The standby claims first, then the other candidates one after another.
func TestClaimOrder(t *testing.T) {
	now := lastHeartbeat + 2*time.Second
	for turn, self := range []string{"b", "c", "d", "e"} {
		t.Run(self, func(t *testing.T) {
			f := newFollower(self)
			others := slices.DeleteFunc(slices.Clone(members), func(name string) bool { return name == "a" || name == self })
			suspect(f, now, 7, others...)
			f.Advise(now)
			delay := time.Duration(turn) * claimStagger
			if turn > 0 && f.Advise(now+delay-1) != Prepare {
				t.Errorf("claims before its delay has passed")
			}
			if got := f.Advise(now + delay); got != Replace {
				t.Errorf("advice after %v: %v, want %v", delay, got, Replace)
			}
		})
	}
}
