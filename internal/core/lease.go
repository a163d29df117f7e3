package core

import "micaport/internal/lease"

// renewLeases keeps both leases alive and makes new ones when they have ended.
func (n *Node) renewLeases() {
	if n.ownership.Lease.Due(n.now) {
		n.renew(&n.ownership.Lease)
	}
	leader := &n.leadership.Lease
	if !leader.Due(n.now) {
		return
	}
	if n.replica.Loaded() && n.leadership.AnotherLeads() && !n.needsLeaderLease() {
		// There is nothing to claim, and requests are scarce. By the time it is needed the
		// old lease may have ended.
		if leader.Age(n.now) > leader.TTL/2 {
			leader.Forget()
		}
		return
	}
	n.renew(leader)
}

// renew extends a lease, or makes one.
func (n *Node) renew(l *lease.Lease) {
	renewal := l.Renew(n.now)
	id := n.continueWith(leaseRenewal{renewal})
	n.emit(RenewLease{ID: id, LeaseID: renewal.ID(), TTL: l.TTL})
}

// leaseRenewal is a request for a lease under way.
type leaseRenewal struct{ renewal lease.Renewal }

func (r leaseRenewal) resume(n *Node, result Result) {
	answer := result.(LeaseAnswered)
	n.noteStoreOutcome(answer.Outcome)
	r.renewal.Answered(n.now, answer.Outcome, answer.LeaseID, n.ownership.ProofInterval())
}
