package core

import (
	"micaport/internal/wire"
)

// Requests that are handed to a peer: the state service refuses this controller alone.

// peerAliveTime is the age of a peer's last message up to which it counts as reachable.
const peerAliveTime = 3 * second

// forwardToPeer hands a request to a peer that reaches the state service, when this
// controller doesn't, and reports whether the request is dealt with. It is handed on once.
func (n *Node) forwardToPeer(request *pendingRequest) bool {
	if n.storeOK || request.Forwarded || request.forwardedToPeer {
		return false
	}
	if n.peersMayMisread(request.spec) {
		n.answerUnavailable(request, notUpgraded)
		return true
	}
	for _, member := range n.cfg.Members {
		p := n.peers[member.Name]
		if p != nil && p.message.StoreOK && n.now-p.receivedAt < peerAliveTime {
			request.forwardedToPeer = true
			n.emit(Forward{
				RequestID: request.RequestID,
				To:        member.Name,
				Call:      wire.UserCall{Kind: request.Kind, Ref: request.JobID, Body: request.Body},
			})
			return true
		}
	}
	return false
}

// peersMayMisread reports whether a submission means something else to a peer of an
// earlier version. One that reads format 1 takes a job with dependencies for one without,
// and one that reads format 2 answers 422 to names that its record has no room for.
func (n *Node) peersMayMisread(spec *wire.JobSpec) bool {
	switch {
	case spec == nil || len(spec.Dependencies) == 0 || n.replica.WritesDependencyLists():
		return false
	case !n.replica.WritesDependencies():
		return true
	}
	return !n.jobRecordFits(n.newRecord(spec))
}

// forwardAnswered passes a peer's answer on to the user.
func (n *Node) forwardAnswered(f ForwardAnswered) {
	request := n.users.requests[f.RequestID]
	if request == nil {
		return
	}
	if f.Answer.Status == 0 {
		n.answerUnavailable(request, storeUnavailable)
		return
	}
	n.answer(request, f.Answer.Status, f.Answer.Body)
}
