package wire

// Formats of the records. Each format adds keys or fields, which a controller writes only once all
// controllers of the deployment support that format; see "Two versions side by side" in
// docs/design.md. Format 1 is the format of the first version.
const (
	FormatDependencies    = 2 // dependencies between jobs; overflow keys for active tasks
	FormatDependencyLists = 3 // separate keys for long lists of dependencies
	FormatTeamAccounts    = 4 // accounts of teams; tasks admitted by shard owners
	FormatEarlyFailover   = 5 // leaders that may be replaced before their lease expires, leader heartbeats, takeover records

	// Format is the newest format that this version reads.
	Format = FormatEarlyFailover
)

// SupportedFormat is the record of the newest format that a controller reads. It is written
// without a lease, so it is not deleted when the controller stops.
type SupportedFormat struct {
	Format int `msgpack:"v"`
}
