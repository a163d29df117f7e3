// Package failover replaces a failed leader before its lease has expired.
//
// A leader sends heartbeats to all other controllers, each of which runs a failure detector. A
// leader is considered failed once a quorum of all controllers suspects it. The candidates then
// claim the leadership one after another, starting with the standby that the leader has named; only
// one of the claims succeeds. Commits of the replaced leader fail, because they are conditional on
// its fencing token, the revision of its claim. The cloud does not check fencing tokens, so a Fence
// limits the time in which a leader may call it. A minimum tenure keeps leaders from replacing each
// other in quick succession. The decision log replicates the leader's state that is not in the
// records to the standby.
//
// The package is a state machine without input or output. Its callers pass the current time of the
// monotonic clock of the process. See docs/standby.md.
package failover
