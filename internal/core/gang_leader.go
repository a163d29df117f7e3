package core

import (
	"slices"

	"micaport/internal/gang"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// applyGangAnswers applies owners' answers in gang transactions (see package gang). Only the leader
// acts on the answers.
func (n *Node) applyGangAnswers(answers []wire.GangHold) {
	if n.gangs.ApplyAnswers(answers) {
		n.leader.passNeeded = true
	}
}

// ownGangAnswers returns this controller's answers, as an owner, for the gangs that are being
// tried.
func (n *Node) ownGangAnswers() []wire.GangHold { return n.gangs.OwnAnswers(n.mayActInShard) }

// advanceGangs carries out the leader's next action for every attempt to start a gang in several
// shards.
func (n *Node) advanceGangs(writer *writer) {
	n.applyGangAnswers(n.ownGangAnswers())
	for _, attempt := range n.gangs.Sorted() {
		switch attempt.LeaderAction(n.gangTransitionInput(attempt)) {
		case gang.Confirm:
			writer.setGangState(attempt, wire.GangConfirmed)
		case gang.Drop:
			writer.setGangState(attempt, wire.GangDropped)
		case gang.Remove:
			if !n.revokeGang(writer, attempt) {
				return // the transaction is full
			}
			writer.removeGang(attempt)
		case gang.Finish:
			if job := n.findJob(attempt.JobID); job != nil {
				job.queuePosition = queuePosition{} // it need not be restored any more
			}
			writer.removeGang(attempt)
		}
	}
}

// revokeGang revokes the tasks of a dropped attempt that have no machine. It returns false if the
// transaction is full.
func (n *Node) revokeGang(writer *writer, attempt *gang.Attempt) bool {
	job := n.findJob(attempt.JobID)
	if job == nil || job.Record == nil || !hasUnplacedTask(job.Record, attempt.Record.Attempt) {
		return true
	}
	record := writer.recordToChange(job)
	if record == nil {
		return false
	}
	record.ActiveTasks = slices.DeleteFunc(record.ActiveTasks, func(task wire.ActiveTask) bool {
		return task.Attempt == attempt.Record.Attempt && task.Machine == ""
	})
	job.restoreQueuePosition()
	return true
}

// setGangState adds a write of an attempt's record with a new state.
func (w *writer) setGangState(attempt *gang.Attempt, state wire.GangState) {
	w.addWrite(kv.Write{Key: attempt.Key, Value: attempt.WithState(state)}, kv.Condition{Key: attempt.Key, Revision: attempt.Revision})
}

// removeGang adds the deletion of an attempt's record.
func (w *writer) removeGang(attempt *gang.Attempt) {
	w.addWrite(kv.Write{Key: attempt.Key}, kv.Condition{Key: attempt.Key, Revision: attempt.Revision})
}
