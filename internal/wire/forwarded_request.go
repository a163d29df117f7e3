package wire

// This file defines users' requests that a controller forwards to a peer by net/rpc because the
// state service refuses the controller. gob transmits the names of the fields, so they can't change.

// RequestKind is the kind of a user's request. Its values are sent between controllers.
type RequestKind string

// Kinds of users' requests.
const (
	RequestSubmit RequestKind = "submit"
	RequestStatus RequestKind = "poll"
	RequestCancel RequestKind = "withdraw"
)

// UserCall is a user's request that is forwarded to a peer.
type UserCall struct {
	Kind RequestKind
	Ref  string // job ID
	Body []byte // of a submission: the job as MessagePack
}

// UserAnswer is the peer's response to a UserCall.
type UserAnswer struct {
	Status int    // HTTP status
	Body   []byte // MessagePack
}
