package failover

import "time"

// Candidate is a controller that could become the standby, as the leader sees it.
type Candidate struct {
	Name    string
	Silence time.Duration // since the leader last received a message directly from it
	StoreOK bool          // the state service serves it
	CutOff  bool          // it has no connection to the cloud, or to any other controller
}

// candidateHeartbeatTimeout is the silence after which a candidate is no longer eligible: two and a
// half intervals of the messages that controllers send each other every second.
const candidateHeartbeatTimeout = 2500 * time.Millisecond

// Eligible reports whether the candidate is able to take over the leadership.
func (c Candidate) Eligible() bool {
	return c.Silence < candidateHeartbeatTimeout && c.StoreOK && !c.CutOff
}

// Elect returns the name of the standby: the current one as long as it is eligible, otherwise the
// first eligible candidate by name, or "" if there is none. The choice is only a preference: where
// candidates disagree about the standby or have none, the condition of their claims ensures that
// only one of them succeeds.
func Elect(current string, candidates []Candidate) string {
	elected := ""
	for _, candidate := range candidates {
		if !candidate.Eligible() {
			continue
		}
		if candidate.Name == current {
			return current
		}
		if elected == "" || candidate.Name < elected {
			elected = candidate.Name
		}
	}
	return elected
}

// claimStagger is the delay between the claims of two successive candidates. It is long enough for
// the claim of the first candidate to be applied and to become visible to the second.
const claimStagger = 400 * time.Millisecond

// claimDelay returns how long this controller waits with its claim once a quorum suspects the
// leader. The standby claims first, then the other candidates in the order of their names.
func (f *Follower) claimDelay() time.Duration {
	if f.standby == f.config.Self {
		return 0
	}
	claimants := 0 // candidates that claim before this one
	if f.standby != "" {
		claimants++
	}
	for _, name := range f.config.Members {
		if name < f.config.Self && name != f.claim.Controller && name != f.standby {
			claimants++
		}
	}
	return time.Duration(claimants) * claimStagger
}
