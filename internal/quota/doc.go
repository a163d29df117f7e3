// Package quota keeps the limits of teams while several controllers admit work at once.
//
// It is an escrow. The record of a team's account, wire.Account, holds the team's limit and a
// share of it for each shard of the site. The owner of a shard admits work within the shard's
// share without asking anyone; the leader grants work within what no share holds. What runs is
// charged to a share or to the leader.
//
// The package has no input or output. A Ledger is told of records and charges; it says what may
// be admitted or granted and how the shares should be distributed. docs/team-limits.md compares
// the alternatives and argues why a limit can't be exceeded.
package quota
