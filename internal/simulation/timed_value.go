package simulation

import "time"

// timedValue is a share or factor that holds until a time.
type timedValue struct {
	value float64
	until time.Duration
}

// setFor sets a share or factor for d.
func (s *Simulation) setFor(v *timedValue, value float64, d time.Duration) {
	*v = timedValue{value, s.now + d}
}

// draw reports true with the probability that a share gives while it holds. It draws no
// random number once the share has expired.
func (s *Simulation) draw(share timedValue) bool {
	return s.now < share.until && s.rng.Float64() < share.value
}
