package core

// formatDelay is the time before a controller writes its record of the format that it reads in a
// transaction of its own. A shard claim sent before then includes the record.
const formatDelay = 2 * second

// writeFormat writes the record of the newest format that this controller reads, unless the
// replica shows it.
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
