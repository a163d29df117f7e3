package config

import "time"

const (
	// clockDriftDivisor bounds the drift between two monotonic clocks to 1/1000 of a duration.
	clockDriftDivisor = 1000
	// timerSlack allows for the granularity of timers and for responses in flight.
	timerSlack = time.Second
	// cancelSlack is subtracted, in addition to the clock margin, from the time within which
	// a cancelled task must have ended.
	cancelSlack = 250 * time.Millisecond
	// takeoverSlack is the minimum by which an owner's validity is shorter than a worker lease
	// minus the clock margin of the lease.
	takeoverSlack = time.Second
)

// ClockMargin returns the safety margin to add to a duration that another machine's clock measures.
func ClockMargin(duration time.Duration) time.Duration {
	return duration/clockDriftDivisor + timerSlack
}

// Validity returns the owner validity for the worker times of the settings; see the function
// Validity.
func (s *Settings) Validity() time.Duration {
	workers := &s.Deployment.Workers
	return Validity(Seconds(workers.LeaseS), Seconds(workers.CancelS))
}

// Validity returns the owner validity: how long the owner of a shard may act after its last
// proven lease renewal. It depends on the worker lease and on cancel, the time after which a
// cancelled task must no longer run.
//
// An owner that can't be reached with a cancellation answers no heartbeat that was sent after
// its validity ended. Its workers therefore kill their tasks at most one worker lease after the
// end of the validity, which must be within cancel. Below that bound the validity is as long as
// possible: in a zone that is partitioned from the others together with its controller, tasks
// continue to run for the validity and a lease. The validity is also shorter than the worker
// lease, so that a peer that waits for an owner's claim to expire can still reach the owner's
// workers before they kill their tasks.
func Validity(workerLease, cancel time.Duration) time.Duration {
	withinCancel := cancel - workerLease - ClockMargin(workerLease) - cancelSlack
	return min(withinCancel, workerLease-ClockMargin(workerLease)-takeoverSlack)
}
