package failover

import "time"

// SuspicionReport is a controller's report on whether it suspects the leader, which it sends to its
// peers.
type SuspicionReport struct {
	Term      uint64        // term of the leader
	Silence   time.Duration // since the controller received the leader's last heartbeat
	Broken    bool          // the controller's connection to the leader is broken
	Suspected bool          // the controller suspects that the leader has failed
}

// peerReport is the latest report received from a peer.
type peerReport struct {
	SuspicionReport
	receivedAt time.Duration
}

// suspicionReportLifetime is how long a peer's report is valid: two intervals of the messages that
// controllers send each other every second.
const suspicionReportLifetime = 2 * time.Second

// SuspicionReport returns this controller's report, to be sent to its peers.
func (f *Follower) SuspicionReport(now time.Duration) SuspicionReport {
	return SuspicionReport{
		Term: f.claim.Term, Silence: f.detector.silence(now), Broken: f.detector.connectionBroken(),
		Suspected: f.mayReplaceEarly() && f.detector.suspects(now),
	}
}

// ReceiveSuspicionReport stores the report of a peer.
func (f *Follower) ReceiveSuspicionReport(now time.Duration, peer string, report SuspicionReport) {
	f.peerReports[peer] = peerReport{report, now}
}

// Evidence is the evidence for and against a failure of the leader.
type Evidence struct {
	Silence    time.Duration // since this controller received the leader's last heartbeat
	Broken     bool          // this controller's connection to the leader is broken
	Suspecting int           // number of controllers that suspect the leader, this one included
	Hearing    int           // number of peers whose recent reports do not suspect the leader
	Members    int           // number of all controllers
}

// Quorum reports whether more than half of all controllers suspect the leader. Controllers without
// a recent report count as not suspecting it, so that in a network partition at most one side can
// replace the leader of the other.
func (e Evidence) Quorum() bool { return 2*e.Suspecting > e.Members }

// Evidence combines the observations of this controller with the reports of its peers. It ignores
// reports that have expired, that the leader itself has sent, or that concern another term.
func (f *Follower) Evidence(now time.Duration) Evidence {
	evidence := Evidence{Silence: f.detector.silence(now), Broken: f.detector.connectionBroken(), Members: len(f.config.Members)}
	if f.detector.suspects(now) {
		evidence.Suspecting++
	}
	for _, name := range f.config.Members {
		report, reported := f.peerReports[name]
		if !reported || name == f.config.Self || name == f.claim.Controller ||
			now-report.receivedAt > suspicionReportLifetime ||
			report.Term != f.claim.Term {
			continue
		}
		if report.Suspected {
			evidence.Suspecting++
		} else {
			evidence.Hearing++
		}
	}
	return evidence
}
