package core

import "micaport/internal/wire"

// Two versions of the service work on each other's data while one replaces the
// other. What the earlier one does not know is written only when every controller
// of the deployment has left a record that it reads it; as those records stay, that
// never goes back. See "Two versions side by side" in docs/design.md.

// formatDelay is how long a controller waits before it leaves its record by itself:
// it goes with the claim of a shard, if there is one to be claimed.
const formatDelay = 2 * second

// formatWrites is the record of what we read, until the replica shows it.
func (n *Node) formatWrites() []Write {
	if n.cfg.Format < wire.FormatDependencies || n.formats[n.cfg.Self] >= n.cfg.Format {
		return nil
	}
	return []Write{{Key: wire.FormatPrefix + n.cfg.Self, Value: &wire.SupportedFormat{Format: n.cfg.Format}}}
}

// writeFormat leaves that record.
func (n *Node) writeFormat() {
	if n.formatAt == 0 {
		n.formatAt = n.now + formatDelay
	}
	if n.now < n.formatAt || !n.storeOK {
		return
	}
	if w := n.formatWrites(); w != nil {
		n.formatAt = n.now + formatDelay
		n.commit(ClassUser, nil, w, func(Committed) {})
	}
}

// putFormat learns what a controller reads.
func (n *Node) putFormat(label string, r *wire.SupportedFormat) {
	n.formats[label] = max(n.formats[label], r.Format)
	agreed := n.cfg.Format
	for _, m := range n.cfg.Members {
		agreed = min(agreed, n.formats[m.Name])
	}
	if agreed <= n.agreedFormat {
		return
	}
	n.agreedFormat = agreed
	n.log(LogInfo, "record format agreed", "format", agreed)
	for _, jx := range n.live {
		if j := n.jobs[jx]; j.record.Spec != nil {
			n.measureRecord(j)
		}
	}
}

// writesDependencies tells whether records may hold what jobs wait on, and go on in
// overflow keys.
func (n *Node) writesDependencies() bool { return n.agreedFormat >= wire.FormatDependencies }

// writesTeamAccounts tells whether teams may have accounts, and owners admit work within
// their shares.
func (n *Node) writesTeamAccounts() bool { return n.agreedFormat >= wire.FormatTeamAccounts }

// writesDependencyLists tells whether what jobs wait on may stand in overflow keys.
func (n *Node) writesDependencyLists() bool { return n.agreedFormat >= wire.FormatDependencyLists }
