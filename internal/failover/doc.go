// Package failover replaces a leader that has failed before the leader's lease has ended.
//
// A leader sends heartbeats to all other controllers, each of which runs a failure detector. A
// leader counts as failed once a quorum of all controllers suspects it. The candidates then
// claim the leadership in turn, the standby that the leader has named first; of several claims
// one succeeds. Commits of the replaced leader fail, as they are conditional on its fencing
// token, the revision of its claim. The cloud knows no fencing tokens, so a Fence limits the time
// in which a leader may call it. A minimum tenure keeps leaders from replacing each other in
// quick succession. The decision log carries what is not in the records to the standby.
//
// The package is a state machine without input or output. Its callers pass the time, which is
// that of the steady clock of the process. See docs/standby.md.
package failover
