package core

// formatWriteDelay is how long a controller waits after its start, and after each attempt, before
// it writes the record of its format in a separate transaction. Shard claims include the record
// too; if one has succeeded before, the separate transaction is unnecessary.
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
	if writes := n.replica.SupportedFormatWrites(); writes != nil {
		n.nextFormatWriteAt = n.now + formatWriteDelay
		n.transact(ClassUser, nil, writes, ignoreResult{})
	}
}
