package wire

// MachineInfo is what the owner of a shard tells the others about a machine. Names
// other than its own are places in the message's list.
type MachineInfo struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Rig      int
	Zone     int
	Flags    int // see the constants; from bit 8 on, how long it has been silent
	Errors   int // failures since its last success
	Images   []int
}

// Flags of a machine.
const (
	FlagSpot        = 1 << iota
	FlagReclaimed   // recalled, or about to be returned
	FlagDraining    // its owner places nothing on it any more; it may be returned
	FlagUnhealthy   // fails jobs
	FlagUnreachable // silent while its neighbours report, or unreachable for answers
	FlagUnconfirmed // has not yet shown that it knows its owner's term
)

// Flags packs truths in the order of the constants.
func Flags(list ...bool) int {
	f := 0
	for i, on := range list {
		if on {
			f |= 1 << i
		}
	}
	return f
}

// GangHold says that an owner holds room for its tasks of a gang attempt.
type GangHold struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",omitempty"`
	Ref      string
	Attempt  uint64
	Part     int
	OK       bool
}

// Reservation says that a machine is kept for a job.
type Reservation struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",as_array"`
	Host     string
	Ref      string
}

// SeenVersion says how far a controller has taken in what another incarnation tells of its
// machines.
type SeenVersion struct {
	Life string
	Ver  uint64
}

// Gossip is the one message between controllers. It is sent every second and
// at once when a gang is tried or settled; each field may be lost or repeated
// without harm, as safety rests on the state service alone.
//
// Hosts holds the machines that changed after version Since, up to Ver. The
// receiver says in Seen how far it has come, so that a message that was lost,
// or a new process at either end, makes the sender tell more.
type Gossip struct {
	//lint:ignore U1000 the MessagePack library reads the options in its tag
	_msgpack struct{} `msgpack:",omitempty"`
	From     string
	Life     string
	UpS      float64
	StoreOK  bool
	CutOff   bool  // the sender reaches neither the cloud nor any controller directly
	Parts    []int // owned and valid
	Terms    []uint64
	Seen     map[string]SeenVersion
	Need     int // records that it has to write
	Since    uint64
	Ver      uint64
	Names    []string
	Hosts    []MachineInfo
	Holds    []GangHold
	Tries    []GangHold    // leader: gang attempts that wait for holds, confirmed if OK
	Kept     []Reservation // leader: machines on which room is being gathered
	Retire   []string      // leader: machines to be emptied for return
	Returned []string      // leader: machines the cloud has confirmed gone
	Strays   []string      // machines that came here though their owners miss them
	Leader   *LeaderView
}

// RequestKind says what a user asks for.
type RequestKind string

// Kinds of users' requests.
const (
	RequestSubmit RequestKind = "submit"
	RequestStatus RequestKind = "poll"
	RequestCancel RequestKind = "withdraw"
)

// UserCall is a user's request handed to a peer that can reach the state service.
type UserCall struct {
	Kind RequestKind
	Ref  string
	Body []byte
}

// UserAnswer is the peer's answer.
type UserAnswer struct {
	Status int
	Body   []byte
}
