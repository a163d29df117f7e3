package failover

import "time"

// Opinion is what a controller tells its peers about the leader.
type Opinion struct {
	Term      uint64        // of the leader
	Silence   time.Duration // since the controller received the leader's last heartbeat
	Broken    bool          // the controller's connection to the leader is broken
	Suspected bool          // the controller suspects that the leader has failed
}

// peerOpinion is the last opinion of a peer.
type peerOpinion struct {
	Opinion
	receivedAt time.Duration
}

// opinionLifetime is how long a peer's opinion counts: two intervals of the messages that
// controllers send each other every second.
const opinionLifetime = 2 * time.Second

// Opinion returns what this controller tells its peers.
func (f *Follower) Opinion(now time.Duration) Opinion {
	return Opinion{
		Term: f.claim.Term, Silence: f.detector.silence(now), Broken: f.detector.broken(),
		Suspected: f.watching() && f.detector.suspects(now),
	}
}

// ReceiveOpinion takes in the opinion of a peer.
func (f *Follower) ReceiveOpinion(now time.Duration, peer string, opinion Opinion) {
	f.opinions[peer] = peerOpinion{opinion, now}
}

// Evidence is what speaks for and against the failure of a leader.
type Evidence struct {
	Silence    time.Duration // since this controller received the leader's last heartbeat
	Broken     bool          // this controller's connection to the leader is broken
	Suspecting int           // number of controllers that suspect the leader, this one included
	Hearing    int           // number of peers that hear the leader
	Members    int           // number of all controllers
}

// Quorum reports whether more than half of all controllers suspect the leader. Controllers
// without a recent opinion count for the leader, so that of two halves that are separated from
// each other at most one replaces the leader of the other.
func (e Evidence) Quorum() bool { return 2*e.Suspecting > e.Members }

// Evidence collects what this controller and its peers know. Opinions that are old, of the leader
// itself or about another term do not count.
func (f *Follower) Evidence(now time.Duration) Evidence {
	evidence := Evidence{Silence: f.detector.silence(now), Broken: f.detector.broken(), Members: len(f.config.Members)}
	if f.detector.suspects(now) {
		evidence.Suspecting++
	}
	for _, name := range f.config.Members {
		opinion, known := f.opinions[name]
		if !known || name == f.config.Self || name == f.claim.Controller ||
			now-opinion.receivedAt > opinionLifetime ||
			opinion.Term != f.claim.Term {
			continue
		}
		if opinion.Suspected {
			evidence.Suspecting++
		} else {
			evidence.Hearing++
		}
	}
	return evidence
}
