// Package standby replaces a leader that has failed before its lease has ended: a failure
// detector, the election of a standby, the quorum that confirms a failure, the fence
// round the cloud, and the stages of a takeover. It is a state machine without input or
// output; times are those of the steady clock of the process. See docs/standby.md.
package failover

import "time"

// Config is what a controller's part in takeovers follows from.
type Config struct {
	Self    string
	Members []string // labels of all controllers, this one included
	// Early replaces a failed leader as soon as a quorum confirms it; otherwise only once
	// its lease has ended.
	Early bool
	// LeaseTTL is the life of a leader's lease.
	LeaseTTL time.Duration
}

// Claim is the record of the leadership.
type Claim struct {
	Controller, Incarnation string
	Term                    uint64 // the revision of the claim
	// Fenced is set where the leader's calls to the cloud rest on proofs of this claim.
	// Only such a leader may be replaced before its lease ends.
	Fenced bool
	// Streak counts claims that replaced a live record, one soon after the other.
	Streak int
}

// Opinion is what a controller tells its peers of the leader.
type Opinion struct {
	Term      uint64
	Silence   time.Duration
	Broken    bool
	Suspected bool
}

// peerOpinion is what a peer told, and when.
type peerOpinion struct {
	Opinion
	receivedAt time.Duration
}

// opinionLifetime is how long a peer's opinion counts: two of the messages that controllers
// send each other every second.
const opinionLifetime = 2 * time.Second

// candidateDelay lies between the turns of two candidates: the time in which the first one's
// claim is carried out and seen.
const candidateDelay = 400 * time.Millisecond

// Follower watches the leader on behalf of a controller that does not lead.
type Follower struct {
	cfg         Config
	claim       Claim
	seenAt      time.Duration // when the claim was seen
	detector    Detector
	opinions    map[string]peerOpinion
	standby     string        // the standby that the leader names
	suspectedAt time.Duration // 0: not suspected
	confirmedAt time.Duration // since when a quorum suspects the leader; 0: it does not
}

// NewFollower makes a follower that knows of no leader.
func NewFollower(cfg Config) *Follower {
	return &Follower{cfg: cfg, detector: Detector{bound: cfg.LeaseTTL}, opinions: map[string]peerOpinion{}}
}

// Observe takes in who leads, as the records have it.
func (f *Follower) Observe(now time.Duration, c Claim) {
	if c.Term == f.claim.Term && c.Controller == f.claim.Controller {
		return
	}
	f.claim, f.seenAt = c, now
	f.detector.Reset(now)
	f.standby = ""
	f.suspectedAt, f.confirmedAt = 0, 0
}

// Heartbeat takes in a leader's heartbeat. Those of earlier terms and lives are ignored:
// they may arrive late.
func (f *Follower) Heartbeat(now time.Duration, node, life string, term uint64, designated string) {
	if node != f.claim.Controller || life != f.claim.Incarnation || term != f.claim.Term {
		return
	}
	f.detector.Heartbeat(now)
	f.standby = designated
}

// Disconnected notes that the connection to a peer has broken.
func (f *Follower) Disconnected(now time.Duration, node string) {
	if node == f.claim.Controller {
		f.detector.Disconnected(now)
	}
	delete(f.opinions, node)
}

// ReceiveOpinion takes in a peer's opinion of the leader.
func (f *Follower) ReceiveOpinion(now time.Duration, peer string, o Opinion) {
	f.opinions[peer] = peerOpinion{o, now}
}

// Resumed discards what a pause of this process has made stale: everybody seems silent,
// and what peers told is old.
func (f *Follower) Resumed(now time.Duration) {
	f.detector.Reset(now)
	f.suspectedAt, f.confirmedAt = 0, 0
	clear(f.opinions)
}

// watching tells whether there is a leader that this controller may replace early.
func (f *Follower) watching() bool {
	return f.cfg.Early && f.claim.Fenced && f.claim.Controller != "" && f.claim.Controller != f.cfg.Self
}

// Opinion is what the controller tells its peers.
func (f *Follower) Opinion(now time.Duration) Opinion {
	return Opinion{
		Term: f.claim.Term, Silence: f.detector.Silence(now), Broken: f.detector.Broken(),
		Suspected: f.watching() && f.detector.Suspects(now),
	}
}

// Evidence is what speaks for and against the failure of a leader.
type Evidence struct {
	Silence    time.Duration // of the leader towards this controller
	Broken     bool          // the connection to it has broken
	Suspecting int           // controllers that suspect it, this one included
	Hearing    int           // peers that hear it
	Members    int           // all controllers
}

// Quorum tells whether more than half of all controllers suspect the leader. Those that
// can't be heard count against it, so that of two halves that are cut from each other at
// most one replaces the other's leader.
func (e Evidence) Quorum() bool { return 2*e.Suspecting > e.Members }

// Evidence gathers what this controller and its peers know.
func (f *Follower) Evidence(now time.Duration) Evidence {
	e := Evidence{Silence: f.detector.Silence(now), Broken: f.detector.Broken(), Members: len(f.cfg.Members)}
	if f.detector.Suspects(now) {
		e.Suspecting++
	}
	for _, label := range f.cfg.Members {
		o, told := f.opinions[label]
		if !told || label == f.cfg.Self || label == f.claim.Controller || now-o.receivedAt > opinionLifetime || o.Term != f.claim.Term {
			continue
		}
		if o.Suspected {
			e.Suspecting++
		} else {
			e.Hearing++
		}
	}
	return e
}

// Advice is what a controller should do about the leader.
type Advice int

// Kinds of advice.
const (
	Follow  Advice = iota // nothing: the leader is heard, or may not be replaced
	Prepare               // keep a lease, tell the peers at once, and wait
	Replace               // claim the leadership now
)

// Advise says what to do now.
func (f *Follower) Advise(now time.Duration) Advice {
	if !f.watching() || !f.detector.Suspects(now) {
		f.suspectedAt, f.confirmedAt = 0, 0
		return Follow
	}
	if f.suspectedAt == 0 {
		f.suspectedAt = now
	}
	if !f.Evidence(now).Quorum() {
		f.confirmedAt = 0
		return Prepare
	}
	if f.confirmedAt == 0 {
		f.confirmedAt = now
	}
	if now-f.seenAt < f.MinTenure() || now-f.confirmedAt < f.claimDelay() {
		return Prepare
	}
	return Replace
}

// SuspectedAt is since when the controller has suspected the leader; 0: it does not.
func (f *Follower) SuspectedAt() time.Duration { return f.suspectedAt }

// Standby is the standby that the leader names; "" if none.
func (f *Follower) Standby() string { return f.standby }

// IsStandby tells whether the leader has named this controller as its standby.
func (f *Follower) IsStandby() bool { return f.watching() && f.standby == f.cfg.Self }

// Claim is that of the present leader.
func (f *Follower) Claim() Claim { return f.claim }

// Silence is how long the leader has not been heard.
func (f *Follower) Silence(now time.Duration) time.Duration { return f.detector.Silence(now) }

// claimDelay is how long this controller leaves a confirmed failure to those before it: the
// designated standby first, the others by label.
func (f *Follower) claimDelay() time.Duration {
	if f.standby == f.cfg.Self {
		return 0
	}
	before := 0
	if f.standby != "" {
		before++
	}
	for _, label := range f.cfg.Members {
		if label < f.cfg.Self && label != f.claim.Controller && label != f.standby {
			before++
		}
	}
	return time.Duration(before) * candidateDelay
}
