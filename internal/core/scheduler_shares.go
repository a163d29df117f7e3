package core

import (
	"time"

	"micaport/internal/kv"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// The leader's side of the teams' accounts: distributing shares to the shards. See package
// quota for what is distributed and docs/team-limits.md for why.

const (
	// shareInterval lies between two writes of a team's account, so that shares which follow
	// the load cost a tenth of a write a second for each team at most.
	shareInterval = 10 * second
	// reclaimInterval is that for revoking shares that waiting work needs.
	reclaimInterval = second
	// redistributeInterval is that after shares have been revoked. A leader that takes over finds
	// a backlog and revokes shares for it; were the owners then left without shares for long,
	// they could admit nothing when that leader fails in its turn.
	redistributeInterval = 3 * second
	// excessReportInterval lies between two reports of a team that uses more than its limit.
	excessReportInterval = 30 * second
	// neverDistributedAge is the age of a distribution that has not taken place yet, longer
	// than any interval.
	neverDistributedAge = time.Hour
)

// distributeShares writes the account of a team whose shares should change, at most one in a
// commit. It comes last, so that it uses no write that a grant needs.
func (p *schedulingPass) distributeShares() {
	n := p.node
	if !n.replica.WritesTeamAccounts() {
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

// shareIntervalFor is how long a team's account is not written again. Where writes are scarce
// all intervals are the longest.
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

// shareDemand is the demand that the shares of a team are distributed by.
func (p *schedulingPass) shareDemand(team int) quota.Demand {
	n := p.node
	demand := quota.Demand{
		Owned: make([]bool, len(n.shards)), Blocked: p.atLimit[team], Granted: p.added[team],
		Enabled: n.cfg.Admission != AdmitNothing,
	}
	for i, shard := range n.shards {
		// Our own shards need no share: we grant there as the leader.
		demand.Owned[i] = shard.Record != nil && !n.owns(shard) && n.ownerResponds(shard)
	}
	return demand
}

// reportExcess logs teams that use more than their limits allow, which happens when a limit has
// been lowered: nothing is stopped for it.
func (n *Node) reportExcess() {
	if n.now < n.leader.excessAt {
		return
	}
	for team := range n.cfg.Teams {
		if excess := n.replica.Ledger().Excess(team); excess != (quota.Amount{}) {
			cores, gpus := excess.Decimal()
			n.log(LogInfo, "team exceeds its quota", "team", n.cfg.Teams[team].Name, "excess_cores", cores, "excess_gpus", gpus)
			n.leader.excessAt = n.now + excessReportInterval
		}
	}
}

// neverDistributed returns the times of the last distribution by team for a new leader, which
// knows of none.
func neverDistributed(teams int) []Time {
	times := make([]Time, teams)
	for team := range times {
		times[team] = -neverDistributedAge
	}
	return times
}
