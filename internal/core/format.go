package core

// formatWriteDelay is the time before a controller writes its record of the format that it
// reads in a transaction of its own. A shard claim sent before then includes the record.
const formatWriteDelay = 2 * second

// writeSupportedFormat writes the record of the newest format that this controller reads,
// unless the replica shows it.
func (n *Node) writeSupportedFormat() {
	if n.formatWriteAt == 0 {
		n.formatWriteAt = n.now + formatWriteDelay
	}
	if n.now < n.formatWriteAt || !n.storeOK {
		return
	}
	if w := n.replica.SupportedFormatWrites(); w != nil {
		n.formatWriteAt = n.now + formatWriteDelay
		n.transact(ClassUser, nil, w, ignoreResult{})
	}
}
