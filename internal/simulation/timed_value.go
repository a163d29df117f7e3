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

// draw reports true with the probability that the share gives, and false once the share
// has expired. It draws no random number in that case.
func (s *Simulation) draw(share timedValue) bool {
	return s.now < share.until && s.rng.Float64() < share.value
}
