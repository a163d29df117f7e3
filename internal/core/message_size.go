package core

import "micaport/internal/wire"

const (
	// maxMessageBytes is the limit of the protocol on a heartbeat and on the reply to one.
	maxMessageBytes = 64 << 10
	// messageHeaderBytes bounds the size of a heartbeat without its tasks, and that of a reply without
	// its commands.
	messageHeaderBytes = 1 << 10
	// maxReportedTaskBytes bounds the size of the tasks that are placed on a machine in its heartbeats.
	// A heartbeat that exceeds maxMessageBytes would be refused and the machine be taken for lost.
	maxReportedTaskBytes = maxMessageBytes - messageHeaderBytes - maxDirectStarts*longestStatusBytes
	// longestStatusBytes bounds the size of any task in a heartbeat. The tasks that are not cleared,
	// maxDirectStarts at most, are not among those that are placed on the machine.
	longestStatusBytes = 96
)

// maxStatusBytes bounds the size of a task of a job in a heartbeat, with an attempt number below 2^16.
func maxStatusBytes(jobID string) int {
	const withoutJobID = 66
	return withoutJobID + len(jobID)
}

// reportFits reports whether the heartbeats of the machine can list one more task.
func (s *slot) reportFits(spec *wire.JobSpec) bool {
	return s.reportBytes+maxStatusBytes(spec.ID) <= maxReportedTaskBytes
}

// maxCommandBytes bounds the size of a command in a reply, with an attempt number below 2^16.
func maxCommandBytes(task string) int {
	const withoutTask = 56
	return withoutTask + len(task)
}
