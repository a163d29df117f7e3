package wire

// This file holds the message that controllers send each other periodically. It is carried by
// net/rpc and gob directly, and as a MessagePack record through the state service where two
// controllers can't reach each other. Both encodings carry the names of the Go fields, or their
// order where the type says as_array. The names and the order therefore stay as the first
// version had them, although other parts of the code use other terms: Life is an incarnation,
// Rig a machine type, Part a shard, Host a machine and Ref a job ID.

// Gossip is what a controller tells its peers every second, and at once when a gang is tried or
// settled. A message may be lost, repeated or late without harm, as safety rests on the state
// service alone.
//
// Hosts holds the machines whose state has changed after version Since, up to version Ver. Seen
// acknowledges the versions received, so that the sender repeats what was lost, and sends
// everything to a new process.
type Gossip struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{}               `msgpack:",omitempty"`
	From     string                 // name of the sender
	Life     string                 // incarnation of the sender
	UpS      float64                // seconds since the sender's process started; orders its messages
	StoreOK  bool                   // the state service answers the sender
	CutOff   bool                   // the sender lacks a connection to the cloud, or to all other controllers
	Parts    []int                  // shards that the sender owns and may act for
	Terms    []uint64               // terms of its ownership, by index in Parts
	Seen     map[string]SeenVersion // by controller
	Need     int                    // number of records that the sender has yet to write
	Since    uint64                 // version after which Hosts begins
	Ver      uint64                 // version up to which Hosts is complete
	Names    []string               // names that Hosts refers to by index
	Hosts    []MachineInfo          // the sender's machines that have changed
	Holds    []GangHold             // room that the sender holds for gang attempts
	Tries    []GangHold             // of the leader: gang attempts that wait for holds, confirmed if kv.OK
	Kept     []Reservation          // of the leader: machines reserved for jobs that wait for room
	Retire   []string               // of the leader: machines to drain for deprovisioning
	Returned []string               // of the leader: machines that the cloud has confirmed to be deprovisioned
	Strays   []string               // machines of other owners that have sent their heartbeats to the sender
	Leader   *LeaderView            // nil from versions before format 5
}

// MachineInfo is the state of a machine as the owner of its shard sees it. Except for Name,
// names are indices into Gossip.Names.
type MachineInfo struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Rig      int   // the machine type
	Zone     int   // the zone
	Flags    int   // FlagSpot and so on; from bit 8 on the number of heartbeats missed, 0 to 2
	Errors   int   // number of jobs that have failed on it since a task last succeeded there
	Images   []int // the images that it has cached
}

// Flags of a machine.
const (
	FlagSpot        = 1 << iota // a spot machine
	FlagReclaimed               // the cloud has announced that it takes it away
	FlagDraining                // its owner places nothing on it any more; it may be deprovisioned
	FlagUnhealthy               // jobs fail on it
	FlagUnreachable             // silent while its neighbours report, or replies do not reach it
	FlagUnconfirmed             // has not yet shown that it knows its owner's term
)

// Flags packs booleans, in the order of the constants, into the flags of a machine.
func Flags(values ...bool) int {
	flags := 0
	for i, set := range values {
		if set {
			flags |= 1 << i
		}
	}
	return flags
}

// GangHold is the answer of the owner of a shard whether it holds room for its tasks of a gang
// attempt; in Gossip.Tries it is the attempt itself.
type GangHold struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",omitempty"`
	Ref      string   // job ID
	Attempt  uint64
	Part     int // shard
	OK       bool
}

// Reservation says that a machine is reserved for a job.
type Reservation struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",as_array"`
	Host     string   // machine
	Ref      string   // job ID
}

// SeenVersion is the version up to which a controller has received the machines of another
// controller's incarnation.
type SeenVersion struct {
	Life string // incarnation
	Ver  uint64
}
