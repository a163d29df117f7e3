package core

import (
	"time"

	"micaport/internal/quota"
	"micaport/internal/wire"
)

// The leader's side of the teams' accounts: dealing shares to the parts. See package
// quota for what is dealt and docs/team-limits.md for why.

const (
	// dealPause lies between two writes of a team's account, so that shares which follow
	// the load cost a tenth of a put a second for each team at most.
	dealPause = 10 * second
	// urgentDealPause is that for withdrawing shares that somebody waits for.
	urgentDealPause = second
	// redealPause is that after shares have been gathered. A leader that takes over finds
	// a backlog and gathers for it; were the owners then left without shares for long,
	// they could admit nothing when it ends in its turn.
	redealPause = 3 * second
	// excessPause lies between two reports of a team that uses more than its limit.
	excessPause = 30 * second
)

// dealShares writes the account of a team whose shares should be other ones, at most one
// in a commit. It comes last, so that it takes no write that a grant needs.
func (p *plan) dealShares() {
	n := p.n
	if !n.writesAccounts() {
		return
	}
	for team := range n.cfg.Teams {
		if n.now-n.leader.dealtAt[team] < p.dealPauseFor(team) {
			continue
		}
		account, reason := n.ledger.Deal(team, p.demandOn(team))
		if reason == quota.Unchanged || !n.fits(account) {
			continue
		}
		if p.ungranted > 0 && reason != quota.Gathered {
			return
		}
		key := wire.AccountKey(n.cfg.Teams[team].Name)
		if p.w.also(Write{Key: key, Value: account}, Cond{key, n.ledger.Revision(team)}) {
			n.leader.dealtAt[team], n.leader.gathered[team] = n.now, reason == quota.Gathered
			n.log(LogDebug, "shares dealt", "team", n.cfg.Teams[team].Name, "reason", int(reason), "shares", len(account.Shares))
		}
		return
	}
}

// dealPauseFor is how long a team's account is left alone after it was written. All pauses
// are the longest where puts are scarce.
func (p *plan) dealPauseFor(team int) Time {
	pause := dealPause
	switch {
	case p.atLimit[team]:
		pause = urgentDealPause
	case p.n.leader.gathered[team]:
		pause = redealPause
	}
	return pause + Time(p.n.scarcity()*float64(dealPause-pause))
}

// demandOn is what the shares of a team are to be dealt by.
func (p *plan) demandOn(team int) quota.Demand {
	n := p.n
	d := quota.Demand{
		Owned: make([]bool, len(n.parts)), Blocked: p.atLimit[team], Granted: p.added[team],
		Enabled: n.cfg.Admission != AdmitNothing,
	}
	for i, part := range n.parts {
		// What we own ourselves needs no share: we grant there as the leader.
		d.Owned[i] = part.rec != nil && !n.holds(part) && n.ownerThere(part)
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
		if excess := n.ledger.Excess(team); excess != (quota.Amount{}) {
			cores, cards := excess.Decimal()
			n.log(LogInfo, "a team uses more than its limit", "team", n.cfg.Teams[team].Name, "cores", cores, "cards", cards)
			n.leader.excessAt = n.now + excessPause
		}
	}
}

// dealTimes are when a leader last dealt the shares of each team: at first, never.
func dealTimes(teams int) []Time {
	times := make([]Time, teams)
	for i := range times {
		times[i] = -time.Hour
	}
	return times
}
