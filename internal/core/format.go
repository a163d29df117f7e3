package core

// formatDelay is how long a controller waits before it leaves its record by itself:
// it goes with the claim of a shard, if there is one to be claimed.
const formatDelay = 2 * second

// writeFormat leaves that record.
func (n *Node) writeFormat() {
	if n.formatAt == 0 {
		n.formatAt = n.now + formatDelay
	}
	if n.now < n.formatAt || !n.storeOK {
		return
	}
	if w := n.replica.SupportedFormatWrites(); w != nil {
		n.formatAt = n.now + formatDelay
		n.transact(ClassUser, nil, w, ignoreResult{})
	}
}
