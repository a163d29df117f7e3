// Package quota enforces the resource limits of teams while several controllers admit work
// concurrently.
//
// It uses an escrow scheme. The record of a team's account, wire.Account, holds the team's limit
// and a share of the limit for each shard of the site. The owner of a shard admits work within
// the shard's share without coordination; the leader grants work within the part of the limit
// that is in no share. Running work is charged to a share or to the leader.
//
// The package does no input or output. A Ledger is updated with records and charges; it decides
// what may be admitted or granted and how the shares should be distributed.
// docs/team-limits.md compares the alternatives and argues why a limit can't be exceeded.
package quota
