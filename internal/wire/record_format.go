package wire

// Formats of the records. A controller writes what a format adds only once every controller of
// the deployment reads that format; see "Two versions side by side" in docs/design.md. Format 1
// is that of the first version.
const (
	FormatDependencies    = 2 // dependencies between jobs; overflow keys for active tasks
	FormatDependencyLists = 3 // overflow keys for long lists of dependencies
	FormatTeamAccounts    = 4 // accounts of teams, and tasks that shard owners have admitted
	FormatEarlyFailover   = 5 // leaders that may be replaced before their lease ends, heartbeats, takeovers

	// Format is the newest format that this version reads.
	Format = FormatEarlyFailover
)

// SupportedFormat is the record of the newest format that a controller reads. It is written
// without a lease, so it stays when the controller ends.
type SupportedFormat struct {
	Format int `msgpack:"v"`
}
