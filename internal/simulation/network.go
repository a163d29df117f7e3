package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// network models the network between controllers, workers and services: its latency, lost
// and duplicate messages, and cuts, during which two endpoints can't reach each other.
type network struct {
	sim *Simulation

	lossShare  float64       // share of requests that are lost, or whose reply is lost
	lateShare  float64       // share of requests that are executed up to a minute late, and whose reply is lost
	lossyUntil time.Duration // when lossShare and lateShare cease to apply
	slowdown   timedValue    // factor by which the latency increases

	duplicateUntil time.Duration // heartbeats and commands sent before this time are delivered twice
	duplicateDelay time.Duration // the second delivery is delayed by 1 s plus a random time below this

	commandCopiesUntil time.Duration // commands sent before this time are delivered three times
	commandCopyDelay   time.Duration // longest delay of the second and third delivery

	lateCommands     timedValue    // share of the commands that are delivered late and not answered
	lateCommandDelay time.Duration // longest delay of these

	cuts map[string]int  // number of cuts in effect between two endpoints, by linkName
	held map[string]bool // whether messages sent during a cut are delivered after it, by linkName
}

// endpoint is a sender or receiver on the network. A cut may name it or its zone.
type endpoint struct{ name, zone string }

// cloudEndpoint is the endpoint of the cloud, which belongs to no zone.
var cloudEndpoint = endpoint{name: "cloud"}

// linkName returns the key of a pair of endpoints in network.cuts and network.held.
func linkName(from, to string) string { return from + "|" + to }

// drawLatency draws the delivery time of a message.
func (n *network) drawLatency() time.Duration {
	d := time.Millisecond + time.Duration(n.sim.rng.IntN(6000))*time.Microsecond
	if n.sim.now < n.slowdown.until {
		d = time.Duration(float64(d) * n.slowdown.value)
	}
	return d
}

// setLossy makes the network lose and delay the given shares of requests for d.
func (n *network) setLossy(lossShare, lateShare float64, d time.Duration) {
	n.lossShare = lossShare
	n.lateShare = lateShare
	n.lossyUntil = n.sim.now + d
}

// drawLoss draws whether a message is lost.
func (n *network) drawLoss(rng *rand.Rand) bool {
	return n.sim.now < n.lossyUntil && rng.Float64() < n.lossShare
}

// setDuplicating makes the network deliver heartbeats and commands twice for d.
func (n *network) setDuplicating(d, longestDelay time.Duration) {
	n.duplicateUntil, n.duplicateDelay = n.sim.now+d, longestDelay
	n.sim.rules.extendFaultPeriod(d + longestDelay)
}

// drawDuplicateDelay draws the delay of the second delivery of a message.
func (n *network) drawDuplicateDelay() time.Duration {
	return time.Second + time.Duration(n.sim.rng.Int64N(int64(n.duplicateDelay)))
}

// minCommandCopyDelay is the shortest delay of another delivery of a command.
const minCommandCopyDelay = time.Millisecond

// copyCommands makes the network deliver commands to workers two more times for d.
func (n *network) copyCommands(d, longestDelay time.Duration) {
	n.commandCopiesUntil, n.commandCopyDelay = n.sim.now+d, longestDelay
	n.sim.rules.extendFaultPeriod(d + longestDelay)
}

// commandCopyDelays draws the delays of the further deliveries of a command.
func (n *network) commandCopyDelays() []time.Duration {
	if n.sim.now >= n.commandCopiesUntil {
		return nil
	}
	return []time.Duration{n.drawLogUniform(minCommandCopyDelay, n.commandCopyDelay), n.drawLogUniform(minCommandCopyDelay, n.commandCopyDelay)}
}

// drawLogUniform draws a duration whose logarithm is distributed evenly.
func (n *network) drawLogUniform(shortest, longest time.Duration) time.Duration {
	return time.Duration(float64(shortest) * math.Pow(float64(longest)/float64(shortest), n.sim.rng.Float64()))
}

// minLateCommandDelay is the shortest delay of a command that is delivered late.
const minLateCommandDelay = 2 * time.Second

// delayCommands makes the network deliver a share of the commands to workers late, without an
// answer, for d.
func (n *network) delayCommands(share float64, d, longestDelay time.Duration) {
	n.sim.setTimedValue(&n.lateCommands, share, d)
	n.lateCommandDelay = longestDelay
	n.sim.rules.extendFaultPeriod(d + longestDelay)
}

// drawCommandDelivery draws how the network treats commands to a worker's address.
func (n *network) drawCommandDelivery() requestDelivery {
	if n.sim.draw(n.lateCommands) {
		return requestDelivery{delay: n.drawLogUniform(minLateCommandDelay, n.lateCommandDelay), executed: true}
	}
	return n.drawDelivery()
}

// requestDelivery describes how the network treats a request.
type requestDelivery struct {
	delay    time.Duration // until the request is executed
	executed bool          // whether the request is executed at all
	answered bool          // whether the reply arrives
}

// drawDelivery draws how the network treats a request.
func (n *network) drawDelivery() requestDelivery {
	if n.sim.now < n.lossyUntil {
		drawn := n.sim.rng.Float64()
		switch {
		case drawn < n.lateShare:
			return requestDelivery{delay: time.Duration(n.sim.rng.IntN(60000)) * time.Millisecond, executed: true}
		case drawn < n.lateShare+n.lossShare/2:
			return requestDelivery{}
		case drawn < n.lateShare+n.lossShare:
			return requestDelivery{delay: n.drawLatency(), executed: true}
		}
	}
	return requestDelivery{delay: n.drawLatency(), executed: true, answered: true}
}

// isCut reports whether a cut currently separates two endpoints.
func (n *network) isCut(a, b endpoint) bool {
	return anyLink(a, b, func(link string) bool { return n.cuts[link] > 0 })
}

// isHeld reports whether messages sent during a cut between two endpoints are delivered
// after it.
func (n *network) isHeld(a, b endpoint) bool {
	return anyLink(a, b, func(link string) bool { return n.held[link] })
}

// anyLink reports whether has is true for any link between two endpoints or their zones, in
// either direction.
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

// cut separates two endpoints for d. An endpoint is the label of a controller, the name of
// a worker's machine, a zone such as "zone:a", or "cloud". With hold, messages sent during
// the cut are delivered after it.
func (n *network) cut(a, b string, d time.Duration, hold bool) {
	n.sim.rules.extendFaultPeriod(d)
	link := linkName(a, b)
	n.cuts[link]++
	n.held[link] = hold
	n.sim.after(d, func() {
		if n.cuts[link]--; n.cuts[link] == 0 {
			delete(n.held, link)
		}
	})
}
