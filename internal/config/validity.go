package config

import "time"

const (
	// clockDriftDivisor bounds the drift between two monotonic clocks: a tenth of a percent.
	clockDriftDivisor = 1000
	// timerSlack covers timers that fire in steps and responses in flight.
	timerSlack = time.Second
	// cancelSlack is kept free of the time for a cancellation beyond all margins.
	cancelSlack = 250 * time.Millisecond
	// takeoverSlack is how much shorter than a worker lease, less its margin, an owner's
	// validity is.
	takeoverSlack = time.Second
)

// Margin is what is added to a duration that the clock of another machine measures.
func Margin(duration time.Duration) time.Duration { return duration/clockDriftDivisor + timerSlack }

// Validity is how long the owner of a shard may act after its last proven lease renewal,
// for the workers' times of the settings.
func (s *Settings) Validity() time.Duration {
	workers := &s.Deployment.Workers
	return Validity(Seconds(workers.LeaseS), Seconds(workers.CancelS))
}

// Validity is how long the owner of a shard may act after its last proven lease renewal,
// given the worker lease and the time after which a cancelled task may not run.
//
// When an owner can't be told of a cancellation, the last heartbeat that it answers was sent
// before its validity ended, and a worker lease later its tasks have stopped; that must be
// within cancel. Below that bound it is as long as possible: a zone that is partitioned off
// together with its controller keeps its tasks for the validity and a lease. It is also
// shorter than the worker lease, so that a peer that waits for the expiry of an owner's claim
// is not too late for the tasks of its workers.
func Validity(workerLease, cancel time.Duration) time.Duration {
	withinCancel := cancel - workerLease - Margin(workerLease) - cancelSlack
	return min(withinCancel, workerLease-Margin(workerLease)-takeoverSlack)
}
