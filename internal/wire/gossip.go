package wire

// HostInfo is what the owner of a part tells the others about a machine.
type HostInfo struct {
	_msgpack struct{} `msgpack:",omitempty"`
	Name     string
	Rig      string
	Zone     string
	Spot     bool
	SilentS  float64 // since its last report
	Leaving  bool    // recalled, or about to be returned
	Retiring bool    // its owner places nothing on it any more; it may be returned
	Sick     bool    // fails jobs
	Lost     bool    // silent while its neighbours report
	Errors   int     // failures since its last success
	Images   []string
	FetchGB  float64 // images that it is fetching
}

// Hold says that an owner holds room for its tasks of a gang attempt.
type Hold struct {
	_msgpack struct{} `msgpack:",omitempty"`
	Ref      string
	Attempt  uint64
	Part     int
	OK       bool
}

// Gossip is the one message between controllers. It is sent every second and
// at once when a gang is tried or settled; each field may be lost or repeated
// without harm, as safety rests on the state service alone.
type Gossip struct {
	_msgpack struct{} `msgpack:",omitempty"`
	From     string
	Life     string
	UpS      float64
	StoreOK  bool
	CutOff   bool   // the sender reaches neither the cloud nor any controller directly
	Rev      uint64 // how far the sender's copy of the records goes
	Parts    []int  // owned and valid
	Terms    []uint64
	Hosts    []HostInfo
	Holds    []Hold
	Tries    []Hold   // leader: gang attempts that wait for holds, confirmed if OK
	Retire   []string // leader: machines to be emptied for return
	Returned []string // leader: machines the cloud has confirmed gone
	Strays   []string // machines of others' parts that came here lately
}

// UserCall is a user's request handed to a peer that can reach the state service.
type UserCall struct {
	Kind string
	Ref  string
	Body []byte
}

// UserAnswer is the peer's answer.
type UserAnswer struct {
	Status int
	Body   []byte
}
