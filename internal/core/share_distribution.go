package core

import (
	"time"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// The leader's side of the teams' accounts: distributing shares to the shards. See package
// quota for what is distributed and docs/team-limits.md for why.

const (
	// shareInterval lies between two writes of a team's account, so that shares which follow
	// the load cost a tenth of a put a second for each team at most.
	shareInterval = 10 * second
	// reclaimInterval is that for revoking shares that somebody waits for.
	reclaimInterval = second
	// redistributeInterval is that after shares have been gathered. A leader that takes over finds
	// a backlog and gathers for it; were the owners then left without shares for long,
	// they could admit nothing when it ends in its turn.
	redistributeInterval = 3 * second
	// excessReportInterval lies between two reports of a team that uses more than its limit.
	excessReportInterval = 30 * second
)

// distributeShares writes the account of a team whose shares should be other ones, at most one
// in a commit. It comes last, so that it takes no write that a grant needs.
func (pass *schedulingPass) distributeShares() {
	n := pass.node
	if !n.replica.WritesTeamAccounts() {
		return
	}
	for team := range n.cfg.Teams {
		if n.now-n.leader.sharesDistributedAt[team] < pass.shareIntervalFor(team) {
			continue
		}
		account, reason := n.replica.Ledger().Distribute(team, pass.shareDemand(team))
		if reason == quota.Unchanged || !n.valueFits(account) {
			continue
		}
		if pass.unwrittenGrants > 0 && reason != quota.Reclaimed {
			return
		}
		key := wire.AccountKey(n.cfg.Teams[team].Name)
		if pass.writer.addWrite(Write{Key: key, Value: account}, Condition{Key: key, Revision: n.replica.Ledger().Revision(team)}) {
			n.leader.sharesDistributedAt[team], n.leader.sharesReclaimed[team] = n.now, reason == quota.Reclaimed
			n.log(LogDebug, "quota shares distributed", "team", n.cfg.Teams[team].Name, "reason", int(reason), "shares", len(account.Shares))
		}
		return
	}
}

// shareIntervalFor is how long a team's account is left alone after it was written. All pauses
// are the longest where puts are scarce.
func (pass *schedulingPass) shareIntervalFor(team int) Time {
	pause := shareInterval
	switch {
	case pass.atLimit[team]:
		pause = reclaimInterval
	case pass.node.leader.sharesReclaimed[team]:
		pause = redistributeInterval
	}
	return pause + Time(pass.node.writeScarcity()*float64(shareInterval-pause))
}

// shareDemand is what the shares of a team are to be distributed by.
func (pass *schedulingPass) shareDemand(team int) quota.Demand {
	n := pass.node
	d := quota.Demand{
		Owned: make([]bool, len(n.shards)), Blocked: pass.atLimit[team], Granted: pass.added[team],
		Enabled: n.cfg.Admission != AdmitNothing,
	}
	for i, part := range n.shards {
		// What we own ourselves needs no share: we grant there as the leader.
		d.Owned[i] = part.Record != nil && !n.owns(part) && n.ownerIsHeard(part)
	}
	return d
}

// reportExcess tells the operators of teams that use more than their limits allow, which
// happens when a limit has been lowered: nothing is stopped for it.
func (n *Node) reportExcess() {
	if n.now < n.leader.excessAt {
		return
	}
	for team := range n.cfg.Teams {
		if excess := n.replica.Ledger().Excess(team); excess != (quota.Amount{}) {
			cores, cards := excess.Decimal()
			n.log(LogInfo, "team exceeds its quota", "team", n.cfg.Teams[team].Name, "excess_cores", cores, "excess_gpus", cards)
			n.leader.excessAt = n.now + excessReportInterval
		}
	}
}

// neverDistributed are when a leader last distributed the shares of each team: at first, never.
func neverDistributed(teams int) []Time {
	times := make([]Time, teams)
	for i := range times {
		times[i] = -time.Hour
	}
	return times
}
