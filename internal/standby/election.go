package standby

import "time"

// Candidate is a controller that might stand by, as the leader knows it.
type Candidate struct {
	Label  string
	Silent time.Duration // since it was last heard directly
	Served bool          // the state service serves it
	CutOff bool          // it reaches neither the cloud nor any other controller
}

// fitFor is how long a candidate may have been silent: two of its messages and a half.
const fitFor = 2500 * time.Millisecond

// Fit tells whether a candidate could take over.
func (c Candidate) Fit() bool { return c.Silent < fitFor && c.Served && !c.CutOff }

// Elect names the standby: the present one for as long as it is fit, else the first fit
// one by label, else none. It is a preference only. Candidates that disagree, or know of
// no standby, are kept apart by the condition of their claims.
func Elect(present string, candidates []Candidate) string {
	elected := ""
	for _, c := range candidates {
		if !c.Fit() {
			continue
		}
		if c.Label == present {
			return present
		}
		if elected == "" || c.Label < elected {
			elected = c.Label
		}
	}
	return elected
}
