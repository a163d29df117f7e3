package wire

// This file holds users' requests that a controller forwards to a peer by net/rpc because the
// state service refuses it. gob carries the names of the fields, so they stay.

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
	Body []byte // of a submission: MessagePack of the job
}

// UserAnswer is the peer's answer.
type UserAnswer struct {
	Status int    // HTTP status
	Body   []byte // MessagePack
}
