package core

// formatWriteDelay is the time before a controller writes its record of the format that it
// reads in a transaction of its own. A shard claim sent before then includes the record.
const formatWriteDelay = 2 * second

// writeSupportedFormat writes the record of the newest format that this controller reads,
// unless the replica shows it.
func (n *Node) writeSupportedFormat() {
	if n.nextFormatWriteAt == 0 {
		n.nextFormatWriteAt = n.now + formatWriteDelay
	}
	if n.now < n.nextFormatWriteAt || !n.storeOK {
		return
	}
	if w := n.replica.SupportedFormatWrites(); w != nil {
		n.nextFormatWriteAt = n.now + formatWriteDelay
		n.transact(ClassUser, nil, w, ignoreResult{})
	}
}
