package core

import "micaport/internal/lease"

// renewLeases sends the requests that are due for the owner's lease and the leader's lease. They
// renew a lease, or create a new one in place of a lease that has expired.
func (n *Node) renewLeases() {
	if n.ownership.Lease.Due(n.now) {
		n.sendLeaseRequest(&n.ownership.Lease)
	}
	leader := &n.leadership.Lease
	if !leader.Due(n.now) {
		return
	}
	if n.replica.Loaded() && n.leadership.AnotherLeads() && !n.needsLeaderLease() {
		// This controller needs no leader's lease while another one leads, and the rate of requests
		// is limited. An old lease is discarded, as it may have expired by the time that this
		// controller needs a lease.
		if leader.Age(n.now) > leader.TTL/2 {
			leader.Discard()
		}
		return
	}
	n.sendLeaseRequest(leader)
}

// sendLeaseRequest sends a request that extends a lease, or that creates one.
func (n *Node) sendLeaseRequest(l *lease.Lease) {
	renewal := l.StartRenewal(n.now)
	id := n.registerContinuation(leaseRenewal{renewal})
	n.emit(RenewLease{ID: id, LeaseID: renewal.ID(), TTL: l.TTL})
}

// leaseRenewal is the continuation of a lease request that has been sent.
type leaseRenewal struct{ renewal lease.Renewal }

func (r leaseRenewal) resume(n *Node, result Result) {
	answer := result.(LeaseAnswered)
	n.recordStoreOutcome(answer.Outcome)
	r.renewal.Complete(n.now, answer.Outcome, answer.LeaseID, n.ownership.ProofInterval())
}
