package wire

// This file defines the message that controllers send each other periodically. It is sent directly
// by net/rpc with gob, or as a MessagePack record through the state service if two controllers
// can't reach each other. Both encodings transmit the names of the Go fields, or their order for
// types with the option as_array. The names and the order therefore can't change, although the rest
// of the code uses other terms: Life is an incarnation, Rig a machine type, Part a shard, Host a
// machine and Ref a job ID.

// Gossip is the message that a controller sends to its peers every second, and sooner when an
// attempt to start a gang begins, is confirmed or is dropped. Lost, repeated or late messages do no
// harm, as safety depends on the state service alone.
//
// Hosts has the machines whose state changed after version Since, up to version Ver. Seen
// acknowledges the versions received, so that lost changes are sent again, and a new process is
// sent the state of all machines.
type Gossip struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{}               `msgpack:",omitempty"`
	From     string                 // name of the sender
	Life     string                 // incarnation of the sender
	UpS      float64                // seconds since the sender's process started; orders its messages
	StoreOK  bool                   // the state service responds to the sender
	CutOff   bool                   // the sender lacks a connection to the cloud, or to all other controllers
	Parts    []int                  // shards that the sender owns and may act for
	Terms    []uint64               // terms of its ownership, by index in Parts
	Seen     map[string]SeenVersion // by controller
	Need     int                    // number of records that the sender has still to write
	Since    uint64                 // Hosts has the changes after this version
	Ver      uint64                 // Hosts has all changes up to this version
	Names    []string               // names that Hosts refers to by index
	Hosts    []MachineInfo          // the sender's machines that have changed
	Holds    []GangHold             // whether the sender holds capacity for gang attempts
	Tries    []GangHold             // of the leader: gang attempts, confirmed if OK is set and else waiting for holds
	Kept     []Reservation          // of the leader: machines reserved for jobs that wait for capacity
	Retire   []string               // of the leader: machines to drain for deprovisioning
	Returned []string               // of the leader: machines whose deprovisioning the cloud has confirmed
	Strays   []string               // machines of other owners that sent heartbeats to the sender and whose owners miss them
	Leader   *LeaderView            // nil from versions before format 5
	// RetireCut is set if Retire has been shortened. Machines that it does not name may be drained
	// all the same.
	RetireCut bool
}

// MachineInfo is the state of a machine as seen by the owner of its shard. Rig, Zone and Images are
// indices into Gossip.Names.
type MachineInfo struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Rig      int // the machine type
	Zone     int
	Flags    int   // FlagSpot and so on; from bit 8 on the number of heartbeats missed, 0 to 2
	Errors   int   // number of jobs that failed on it since a task last succeeded on it
	Images   []int // the images that it has cached
}

// Flags of a machine.
const (
	FlagSpot        = 1 << iota // a spot machine
	FlagReclaimed               // the cloud has announced that it will reclaim the machine
	FlagDraining                // its owner places no more tasks on it; it may be deprovisioned
	FlagUnhealthy               // jobs fail on it
	FlagUnreachable             // the machine sends no heartbeats while its neighbours do, or does not receive replies
	FlagUnconfirmed             // the machine has not yet confirmed its owner's term in a heartbeat
)

// PackFlags packs booleans, in the order of the constants, into the flags of a machine.
func PackFlags(values ...bool) int {
	flags := 0
	for i, set := range values {
		if set {
			flags |= 1 << i
		}
	}
	return flags
}

// GangHold is the response of a shard's owner to a gang attempt: OK is set if it holds capacity
// for the tasks in its shard. In Gossip.Tries it is the attempt itself, and OK is set if the
// attempt is confirmed.
type GangHold struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",omitempty"`
	Ref      string   // job ID
	Attempt  uint64
	Part     int // shard
	OK       bool
}

// Reservation is the reservation of a machine for a job.
type Reservation struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",as_array"`
	Host     string   // machine
	Ref      string   // job ID
}

// SeenVersion is the version up to which a controller has received the state of the machines of
// another controller, and the incarnation of that controller.
type SeenVersion struct {
	Life string // incarnation
	Ver  uint64
}
