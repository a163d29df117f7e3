package core

import (
	"time"

	"micaport/internal/kv"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

const (
	// shareInterval is the time between two writes of a team's account: shares that follow the
	// load cost at most a tenth of a write per second and team.
	shareInterval = 10 * second
	// reclaimInterval replaces shareInterval while waiting jobs need shares to be reclaimed.
	reclaimInterval = second
	// redistributeInterval replaces shareInterval after shares have been reclaimed. A new leader
	// finds a backlog and reclaims shares for it. If that leader failed too before the shares were
	// distributed again, the owners could admit nothing.
	redistributeInterval = 3 * second
	// excessReportInterval is the time between two reports of teams that use more than their
	// limits.
	excessReportInterval = 30 * second
	// neverDistributedAge is the assumed age of a distribution that has not taken place, longer
	// than any interval.
	neverDistributedAge = time.Hour
)

// distributeShares writes the account of a team whose shares of its limit have to change, at most
// one in a transaction. It runs after all grants, so that it uses no write that they need. If grants
// did not fit into the transaction, only reclaimed shares are written. See package quota for
// the distribution and docs/team-limits.md for the reasons.
func (p *schedulingPass) distributeShares() {
	n := p.node
	if !n.replica.SupportsTeamAccounts() {
		return
	}
	for team := range n.cfg.Teams {
		if n.now-n.leader.sharesDistributedAt[team] < p.shareIntervalFor(team) {
			continue
		}
		account, reason := n.replica.Ledger().Distribute(team, p.shareDemand(team))
		if reason == quota.Unchanged || !n.valueFits(account) {
			continue
		}
		if p.unwrittenGrants > 0 && reason != quota.Reclaimed {
			return
		}
		key := wire.AccountKey(n.cfg.Teams[team].Name)
		if p.writer.addWrite(kv.Write{Key: key, Value: account}, kv.Condition{Key: key, Revision: n.replica.Ledger().Revision(team)}) {
			n.leader.sharesDistributedAt[team], n.leader.sharesReclaimed[team] = n.now, reason == quota.Reclaimed
			n.log(LogDebug, "quota shares distributed",
				"team", n.cfg.Teams[team].Name, "reason", int(reason),
				"shares", len(account.Shares))
		}
		return
	}
}

// shareIntervalFor returns the minimum time between two writes of a team's account. The scarcer the
// writes, the closer it is to shareInterval.
func (p *schedulingPass) shareIntervalFor(team int) Time {
	interval := shareInterval
	switch {
	case p.atLimit[team]:
		interval = reclaimInterval
	case p.node.leader.sharesReclaimed[team]:
		interval = redistributeInterval
	}
	return interval + Time(p.node.writeScarcity()*float64(shareInterval-interval))
}

// shareDemand returns the demand on which the distribution of a team's shares depends.
func (p *schedulingPass) shareDemand(team int) quota.Demand {
	n := p.node
	demand := quota.Demand{
		HasAdmittingOwner: make([]bool, len(n.shards)), LeaderAtLimit: p.atLimit[team], Granted: p.charged[team],
		SharesEnabled: n.cfg.Admission != AdmitNothing,
	}
	for i, shard := range n.shards {
		// The leader grants in its own shards, so that these need no share.
		demand.HasAdmittingOwner[i] = shard.Record != nil && !n.owns(shard) && n.ownerResponds(shard)
	}
	return demand
}

// logQuotaExcess logs teams that use more than their limits allow, as they may after their limit
// was lowered: no tasks are stopped for a lower limit.
func (n *Node) logQuotaExcess() {
	if n.now < n.leader.nextExcessReportAt {
		return
	}
	for team := range n.cfg.Teams {
		if excess := n.replica.Ledger().Excess(team); excess != (quota.Amount{}) {
			cores, gpus := excess.Decimal()
			n.log(LogInfo, "team exceeds its quota", "team", n.cfg.Teams[team].Name, "excess_cores", cores, "excess_gpus", gpus)
			n.leader.nextExcessReportAt = n.now + excessReportInterval
		}
	}
}

// initialDistributionTimes returns, by team, the times of the last distribution that a new leader
// assumes, as it does not know the actual ones.
func initialDistributionTimes(teams int) []Time {
	times := make([]Time, teams)
	for team := range times {
		times[team] = -neverDistributedAge
	}
	return times
}
