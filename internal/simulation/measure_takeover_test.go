//go:build measure

package simulation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"micaport/internal/wire"
)

var (
	takeoverSites    = flag.Int("takeover.sites", 8, "how many sites of five controllers are measured at once")
	takeoverFailures = flag.Int("takeover.failures", 13, "how many leaders of each site fail")
	takeoverWorkers  = flag.Int("takeover.workers", 40, "how many workers each site has, of 400 at most")
)

// failureSpacing lies between two failures at a site: the streak of early takeovers ends
// meanwhile, so that each may be an early one.
const failureSpacing = 18 * time.Second

// stageNames are those of wire.Takeover's stages.
var stageNames = []string{"suspected", "claimed", "seen", "caught up", "decided"}

// takeoverSample is what the sites of one kind of failure and one setting have shown.
type takeoverSample struct {
	mu     sync.Mutex
	total  waits            // from the failure to the first decision
	stages map[string]waits // from the last heartbeat, of early takeovers
	early  int
	up     []int // workers that were up at the end, by site
	broken []string
}

func newTakeoverSample() *takeoverSample {
	s := &takeoverSample{total: newWaits(), stages: map[string]waits{}}
	for _, name := range stageNames {
		s.stages[name] = newWaits()
	}
	return s
}

// add takes in a site that has been played.
func (s *takeoverSample) add(l *Loopback, seen map[uint64]wire.Takeover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times, early := l.takeoverTimes()
	s.total.Merge(times)
	s.early += early
	s.up = append(s.up, len(l.up()))
	s.broken = append(s.broken, l.Broken...)
	for _, x := range seen {
		for i, ms := range x.StagesMS {
			must(s.stages[stageNames[i]].RecordValue(max(1, ms)))
		}
	}
}

// TestMeasureTakeover measures how long it takes from the failure of a leader until the
// next one's first decision, with real controllers on loopback, by kind of failure and by
// when a leader is replaced.
func TestMeasureTakeover(t *testing.T) {
	binary := buildProgram(t)
	for _, failure := range []string{"kill", "freeze"} {
		for _, takeover := range []string{"lease", "early"} {
			sample := newTakeoverSample()
			var wait sync.WaitGroup
			for site := range *takeoverSites {
				wait.Go(func() { measureSite(t, binary, failure, takeover, uint64(site), sample) })
			}
			wait.Wait()
			t.Logf("%s, %s: %v; %d early; %d sites of 5 controllers at once, workers up at each %v", failure, takeover, sample.total, sample.early, *takeoverSites, sample.up)
			for _, name := range stageNames {
				if sample.stages[name].TotalCount() > 0 {
					t.Logf("  %s: %v", name, sample.stages[name])
				}
			}
			if len(sample.broken) > 0 {
				t.Errorf("%s, %s: %v", failure, takeover, sample.broken)
			}
		}
	}
}

// measureSite plays one site.
func measureSite(t *testing.T, binary, failure, takeover string, seed uint64, sample *takeoverSample) {
	const begin = 12 * time.Second
	end := begin + time.Duration(*takeoverFailures)*failureSpacing
	operator := operatorFile(t, "[standby]\ntakeover = "+takeover+"\n[placement]\nidle_return_s = 600\n")
	settings := takeoverSite(*takeoverWorkers)
	settings.Seed = seed + 1
	l, err := NewLoopback(settings, binary, t.TempDir(), operator, func(string, ...any) {})
	if err != nil {
		t.Error(err)
		return
	}
	defer l.Close()
	rng := rand.New(rand.NewPCG(seed, 5))
	l.after(time.Second, func() { // brings all workers up, and they stay
		must(l.submitLine([]string{"wk-999999", "team=wide", fmt.Sprintf("frames=%d", *takeoverWorkers), "run=8", "cards=2", "gb=0"}))
	})
	l.submitSteadily(200*time.Millisecond, time.Second, end, rng)
	for i := range *takeoverFailures {
		l.after(begin+time.Duration(i)*failureSpacing+time.Duration(rng.IntN(1000))*time.Millisecond, func() {
			if failure == "kill" {
				l.Kill(l.controller("leader"), 5*time.Second)
			} else {
				l.Stop(l.controller("leader"), 8*time.Second)
			}
		})
	}
	seen := map[uint64]wire.Takeover{}
	l.every(2*time.Second, func() {
		if k := l.store.keys[wire.TakeoversKey]; k != nil {
			for _, x := range decode(wire.TakeoversKey, k.raw).(*wire.Takeovers).List {
				seen[x.Replaced] = x
			}
		}
	})
	l.Play(end + 10*time.Second)
	sample.add(l, seen)
}

// TestMeasureFollowing measures what following the leader costs while nothing fails: bytes
// between controllers and processor time.
func TestMeasureFollowing(t *testing.T) {
	const length = 60 * time.Second
	binary := buildProgram(t)
	for _, takeover := range []string{"lease", "early", "lease", "early"} {
		operator := operatorFile(t, "[standby]\ntakeover = "+takeover+"\n[placement]\nidle_return_s = 300\n")
		l, err := NewLoopback(takeoverSite(*takeoverWorkers), binary, t.TempDir(), operator, func(string, ...any) {})
		if err != nil {
			t.Fatal(err)
		}
		l.submitSteadily(200*time.Millisecond, time.Second, length, rand.New(rand.NewPCG(1, 5)))
		l.Play(length)
		carried := int64(0)
		for _, p := range l.procs {
			for _, link := range p.peers {
				carried += link.carried.Load()
			}
		}
		if len(l.Broken) > 0 {
			t.Error(l.Broken)
		}
		l.Close()
		var processor []string
		for _, p := range l.procs {
			for range 100 {
				if p.cmd.ProcessState != nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			used := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
			processor = append(processor, fmt.Sprintf("%.1f", float64(used.Milliseconds())/length.Seconds()))
		}
		t.Logf("%s: %.0f bytes a second between 5 controllers, processor time of each %s ms a second, %d workers, %d jobs", takeover,
			float64(carried)/length.Seconds(), strings.Join(processor, " "), len(l.up()), len(l.order))
	}
}
