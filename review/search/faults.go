//go:build review

package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"micaport/review/standin"
)

// faults are the faults that last for a time, each with its end.
type faults struct {
	mu             sync.Mutex
	rng            *rand.Rand
	refused, reset map[int]time.Time // by controller: the state service refuses it, or resets its connections
	answersLost    time.Time         // some answers to transactions are lost
	late           time.Time         // some transactions are carried out late
	slow           time.Time         // the state service is slow
	copies         time.Time         // some reports arrive again later
	ordersLate     time.Time         // some direct commands are held up
	cloud          time.Time
	cloudAction    func() standin.CloudAction
	zonesApart     time.Time
}

// during reports whether a fault lasts and draws whether it happens now.
func (f *faults) during(end time.Time, probability float64) bool {
	return time.Now().Before(end) && f.rng.Float64() < probability
}

// between returns a random duration.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// install makes the stand-ins follow the faults.
func (f *faults) install(s *search) {
	f.rng = rand.New(rand.NewPCG(s.seed, 6))
	f.refused, f.reset = map[int]time.Time{}, map[int]time.Time{}
	locked := func() func() { f.mu.Lock(); return f.mu.Unlock }
	s.State.Decide = func(request standin.StateRequest) (action standin.StateAction) {
		defer locked()()
		switch {
		case time.Now().Before(f.refused[request.Node]):
			return standin.StateAction{Refuse: true}
		case time.Now().Before(f.reset[request.Node]):
			return standin.StateAction{Reset: true}
		case request.Kind == "commit" && f.during(f.answersLost, 0.3):
			action.LoseAnswer = true
		case request.Kind == "commit" && f.during(f.late, 0.3):
			action.Late = between(f.rng, 2*time.Second, 12*time.Second)
		}
		if f.during(f.slow, 1) {
			action.Delay = between(f.rng, 100*time.Millisecond, time.Second)
		}
		return action
	}
	s.Cloud.Decide = func() standin.CloudAction {
		defer locked()()
		if f.during(f.cloud, 1) {
			return f.cloudAction()
		}
		return standin.CloudAction{}
	}
	s.Fleet.CopyAfter = func() time.Duration {
		defer locked()()
		if f.during(f.copies, 0.2) {
			return between(f.rng, 2*time.Second, 22*time.Second)
		}
		return 0
	}
	s.Fleet.OrderDelay = func() time.Duration {
		defer locked()()
		if f.during(f.ordersLate, 0.5) {
			return between(f.rng, 2*time.Second, 16*time.Second)
		}
		return 0
	}
	zoneOf := map[string]string{}
	for i, node := range s.Nodes {
		zoneOf[node.Label] = s.Site.NodeZones[i]
	}
	s.Fleet.Reaches = func(hall, node string) bool {
		defer locked()()
		return !f.during(f.zonesApart, 1) || hall == zoneOf[node]
	}
}

// inject begins a random fault.
func (f *faults) inject(s *search) {
	rng := s.rng
	duration := between(rng, 500*time.Millisecond, 12500*time.Millisecond)
	if rng.IntN(5) == 0 {
		duration *= 3
	}
	end, node, index := time.Now().Add(duration), s.Nodes[rng.IntN(len(s.Nodes))], rng.IntN(len(s.Nodes))
	set := func(name string, change func()) {
		s.Record.Logf("fault: %s for %v", name, duration)
		f.mu.Lock()
		defer f.mu.Unlock()
		change()
	}
	cut := func(name string, link *standin.Proxy) {
		held := rng.IntN(2) == 0
		s.Record.Logf("fault: %s for %v, held %v", name, duration, held)
		link.Set(held, !held)
		time.AfterFunc(duration, func() { link.Set(false, false) })
	}
	all := func(ends map[int]time.Time) {
		for i := range s.Nodes {
			ends[i] = end
		}
	}
	switch rng.IntN(20) {
	case 0, 1, 2:
		s.Kill(node, between(rng, 200*time.Millisecond, 5200*time.Millisecond))
	case 3, 4:
		s.Signal(node, syscall.SIGSTOP)
		time.AfterFunc(duration, func() { s.Signal(node, syscall.SIGCONT) })
	case 5:
		set("the state service refuses one", func() { f.refused[index] = end })
	case 6:
		set("the state service refuses all", func() { all(f.refused) })
	case 7:
		set("connections of one to the state service are reset", func() { f.reset[index] = end })
	case 8:
		set("connections of all to the state service are reset", func() { all(f.reset) })
	case 9:
		set("answers to transactions are lost", func() { f.answersLost = end })
	case 10:
		set("transactions are late", func() { f.late = end })
	case 11:
		set("the state service is slow", func() { f.slow = end })
	case 12:
		set("reports arrive again", func() { f.copies = end.Add(duration) })
	case 13:
		set("direct commands are late", func() { f.ordersLate = end.Add(duration) })
	case 14:
		f.injectCloud(set, end.Add(duration), rng.IntN(3))
	case 15, 16, 17:
		f.injectWorker(s, duration)
	case 18:
		for i := range s.Nodes {
			if link := s.Links[[2]int{index, i}]; link != nil {
				cut("a controller does not reach a peer", link)
			}
		}
	case 19:
		set("the zones are apart", func() { f.zonesApart = end })
		for pair, link := range s.Links {
			if s.Site.NodeZones[pair[0]] != s.Site.NodeZones[pair[1]] {
				cut("a link between zones", link)
			}
		}
	}
}

// injectCloud makes the cloud refuse requests, lose answers, or carry requests out late.
func (f *faults) injectCloud(set func(string, func()), end time.Time, kind int) {
	set("the cloud has trouble", func() {
		f.cloud = end
		f.cloudAction = []func() standin.CloudAction{
			func() standin.CloudAction { return standin.CloudAction{Refuse: true} },
			func() standin.CloudAction { return standin.CloudAction{LoseAnswer: f.rng.IntN(2) == 0} },
			func() standin.CloudAction {
				return standin.CloudAction{Late: between(f.rng, time.Millisecond, 15*time.Second)}
			},
		}[kind]
	})
}

// injectWorker makes a machine mute, deaf or hang, or takes it.
func (f *faults) injectWorker(s *search, duration time.Duration) {
	names := s.Fleet.Workers()
	if len(names) == 0 {
		return
	}
	worker := s.Fleet.Worker(names[s.rng.IntN(len(names))])
	if worker == nil {
		return // it has gone meanwhile
	}
	switch s.rng.IntN(4) {
	case 0:
		worker.Mute(duration)
	case 1:
		worker.Deafen(duration)
	case 2:
		worker.Hang(duration)
	case 3:
		worker.Lose()
	}
}
