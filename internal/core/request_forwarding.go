package core

import (
	"micaport/internal/wire"
)

// peerAliveTime is how long after its last message a peer counts as reachable.
const peerAliveTime = 3 * second

// forwardToPeer forwards a request, at most once, to a peer that the state service serves, if
// the state service does not serve this controller. If peers may misinterpret the request, it
// answers with status 503 instead. It reports whether it has forwarded or answered the request.
func (n *Node) forwardToPeer(request *pendingRequest) bool {
	if n.storeOK || request.Forwarded || request.forwardedToPeer {
		return false
	}
	if n.peersMayMisinterpret(request.spec) {
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

// peersMayMisinterpret reports whether a peer of an earlier version could misinterpret a
// submission. A peer that reads format 1 ignores dependencies, and a peer that reads format 2
// answers 422 if the dependencies do not fit the job's record.
func (n *Node) peersMayMisinterpret(spec *wire.JobSpec) bool {
	switch {
	case spec == nil || len(spec.Dependencies) == 0 || n.replica.SupportsDependencyLists():
		return false
	case !n.replica.SupportsDependencies():
		return true
	}
	return !n.jobRecordFits(n.newJobRecord(spec))
}

// receiveForwardAnswer sends a peer's answer to the user, or status 503 if the peer did not answer.
func (n *Node) receiveForwardAnswer(f ForwardAnswered) {
	request := n.userRequests.requests[f.RequestID]
	if request == nil {
		return
	}
	if f.Answer.Status == 0 {
		n.answerUnavailable(request, storeUnavailable)
		return
	}
	n.answer(request, f.Answer.Status, f.Answer.Body)
}
