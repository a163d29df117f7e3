package failover

import "time"

// Candidate is a controller that might become the standby, as the leader knows it.
type Candidate struct {
	Name    string
	Silence time.Duration // since the leader last received a message from it directly
	StoreOK bool          // the state service answers it
	CutOff  bool          // it lacks a connection to the cloud, or to all other controllers
}

// candidateHeartbeatTimeout is the silence from which on a candidate is not eligible: two and a half
// intervals of the messages that controllers send each other every second.
const candidateHeartbeatTimeout = 2500 * time.Millisecond

// Eligible reports whether a candidate could take over.
func (c Candidate) Eligible() bool {
	return c.Silence < candidateHeartbeatTimeout && c.StoreOK && !c.CutOff
}

// Elect returns the name of the standby: the present one as long as it is eligible, otherwise the
// first eligible candidate by name, or "" if there is none. The choice is a preference only:
// candidates that disagree about it, or know of no standby, are kept apart by the condition of
// their claims.
func Elect(present string, candidates []Candidate) string {
	elected := ""
	for _, candidate := range candidates {
		if !candidate.Eligible() {
			continue
		}
		if candidate.Name == present {
			return present
		}
		if elected == "" || candidate.Name < elected {
			elected = candidate.Name
		}
	}
	return elected
}

// claimTurn is the time between the turns of two candidates, in which the claim of the first one
// is applied and seen by the others.
const claimTurn = 400 * time.Millisecond

// claimDelay returns how long this controller leaves a confirmed failure to the candidates before
// it: the standby goes first, the others in the order of their names.
func (f *Follower) claimDelay() time.Duration {
	if f.standby == f.config.Self {
		return 0
	}
	before := 0
	if f.standby != "" {
		before++
	}
	for _, name := range f.config.Members {
		if name < f.config.Self && name != f.claim.Controller && name != f.standby {
			before++
		}
	}
	return time.Duration(before) * claimTurn
}
