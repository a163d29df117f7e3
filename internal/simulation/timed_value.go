package simulation

import "time"

// timedValue is a probability or factor that applies until a time.
type timedValue struct {
	value float64
	until time.Duration
}

// setTimedValue sets v to a value that applies for d.
func (s *Simulation) setTimedValue(v *timedValue, value float64, d time.Duration) {
	*v = timedValue{value, s.now + d}
}

// draw reports true with the probability that the share gives. Once the share has expired, it
// reports false without drawing a random number.
func (s *Simulation) draw(share timedValue) bool {
	return s.now < share.until && s.rng.Float64() < share.value
}
