package failover

import "time"

// Candidate is a controller that might stand by, as the leader knows it.
type Candidate struct {
	Name    string
	Silence time.Duration // since it was last heard directly
	StoreOK bool          // the state service serves it
	CutOff  bool          // it reaches neither the cloud nor any other controller
}

// maxCandidateSilence is how long a candidate may have been silent: two of its messages and a half.
const maxCandidateSilence = 2500 * time.Millisecond

// Eligible tells whether a candidate could take over.
func (c Candidate) Eligible() bool { return c.Silence < maxCandidateSilence && c.StoreOK && !c.CutOff }

// Elect names the standby: the present one for as long as it is fit, else the first fit
// one by label, else none. It is a preference only. Candidates that disagree, or know of
// no standby, are kept apart by the condition of their claims.
func Elect(present string, candidates []Candidate) string {
	elected := ""
	for _, c := range candidates {
		if !c.Eligible() {
			continue
		}
		if c.Name == present {
			return present
		}
		if elected == "" || c.Name < elected {
			elected = c.Name
		}
	}
	return elected
}
