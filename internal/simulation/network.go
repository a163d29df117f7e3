package simulation

import (
	"math/rand/v2"
	"time"
)

// network is the network between controllers, workers and services: latency, loss,
// duplicates and cuts.
type network struct {
	sim *Simulation

	lossShare  float64 // share of requests that are lost, before or after they are carried out
	lateShare  float64 // share of requests that are carried out up to a minute later
	lossyUntil time.Duration
	slowdown   timedValue // factor on the latency

	duplicateUntil time.Duration // heartbeats and commands sent before are delivered twice
	duplicateDelay time.Duration // the longest delay of the second delivery

	cuts map[string]int  // how many cuts separate a pair of endpoints, by linkName
	held map[string]bool // whether what is sent during a cut is delivered after it
}

// endpoint is a party of the network. A cut may name it or its zone.
type endpoint struct{ name, zone string }

// cloudEndpoint is the cloud, which belongs to no zone.
var cloudEndpoint = endpoint{name: "cloud"}

// linkName returns the key of a pair of endpoints in the network's maps.
func linkName(from, to string) string { return from + "|" + to }

// latency draws the time that a message takes.
func (n *network) latency() time.Duration {
	d := time.Millisecond + time.Duration(n.sim.rng.IntN(6000))*time.Microsecond
	if n.sim.now < n.slowdown.until {
		d = time.Duration(float64(d) * n.slowdown.value)
	}
	return d
}

// setLossy makes the network lose and delay shares of the requests for d.
func (n *network) setLossy(lossShare, lateShare float64, d time.Duration) {
	n.lossShare = lossShare
	n.lateShare = lateShare
	n.lossyUntil = n.sim.now + d
}

// loses draws whether a message is lost.
func (n *network) loses(rng *rand.Rand) bool {
	return n.sim.now < n.lossyUntil && rng.Float64() < n.lossShare
}

// setDuplicating makes the network deliver heartbeats and commands twice for d.
func (n *network) setDuplicating(d, longestDelay time.Duration) {
	n.duplicateUntil, n.duplicateDelay = n.sim.now+d, longestDelay
	n.sim.rules.faultsLast(d + longestDelay)
}

// duplicateAfter draws when the second delivery of a message happens.
func (n *network) duplicateAfter() time.Duration {
	return time.Second + time.Duration(n.sim.rng.Int64N(int64(n.duplicateDelay)))
}

// requestFate is what happens to a request.
type requestFate struct {
	delay    time.Duration // until it is carried out
	runs     bool          // it is carried out at all
	answered bool          // its answer arrives
}

// fate draws what happens to a request.
func (n *network) fate() requestFate {
	if n.sim.now < n.lossyUntil {
		drawn := n.sim.rng.Float64()
		switch {
		case drawn < n.lateShare:
			return requestFate{delay: time.Duration(n.sim.rng.IntN(60000)) * time.Millisecond, runs: true}
		case drawn < n.lateShare+n.lossShare/2:
			return requestFate{}
		case drawn < n.lateShare+n.lossShare:
			return requestFate{delay: n.latency(), runs: true}
		}
	}
	return requestFate{delay: n.latency(), runs: true, answered: true}
}

// isCut reports whether two endpoints can't reach each other now.
func (n *network) isCut(a, b endpoint) bool {
	return anyLink(a, b, func(link string) bool { return n.cuts[link] > 0 })
}

// isHeld reports whether a cut between two endpoints delivers afterwards what was sent.
func (n *network) isHeld(a, b endpoint) bool {
	return anyLink(a, b, func(link string) bool { return n.held[link] })
}

// anyLink reports whether a link between two endpoints or their zones, in either
// direction, has a property.
func anyLink(a, b endpoint, has func(link string) bool) bool {
	for _, from := range []string{a.name, "zone:" + a.zone} {
		for _, to := range []string{b.name, "zone:" + b.zone} {
			if has(linkName(from, to)) || has(linkName(to, from)) {
				return true
			}
		}
	}
	return false
}

// cut separates two endpoints for d. Endpoints are controllers and workers by name, zones
// as "zone:a", and "cloud". With hold, what is sent during the cut arrives after it.
func (n *network) cut(a, b string, d time.Duration, hold bool) {
	n.sim.rules.faultsLast(d)
	link := linkName(a, b)
	n.cuts[link]++
	n.held[link] = hold
	n.sim.after(d, func() {
		if n.cuts[link]--; n.cuts[link] == 0 {
			delete(n.held, link)
		}
	})
}
