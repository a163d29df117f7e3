package store

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"micaport/internal/core"
	"micaport/internal/kv"
)

// AdminClient reads and changes records for the operators' commands, one request at a time.
type AdminClient struct{ client *Client }

// adminRPS limits the background requests and the watches of an AdminClient to a rate that is
// low compared with that of the controllers.
const adminRPS = 4

// NewAdminClient returns a client of the state service at an address (host:port).
func NewAdminClient(address string) *AdminClient {
	return &AdminClient{New(address, 1, adminRPS, func(core.Input) {})}
}

// Errors of an AdminClient.
var (
	// ErrUnreachable means that a request was refused or got no usable response; nothing was
	// changed.
	ErrUnreachable = errors.New("the state service can't be reached")
	// ErrConflict means that a condition of a transaction was not met; nothing was changed.
	ErrConflict = errors.New("a record has changed meanwhile")
	// ErrUncertain means that a transaction may have been committed.
	ErrUncertain = errors.New("the state service has not answered: the change may have been made")
)

// List returns all records whose keys have a prefix, by key. Errors wrap ErrUnreachable, and
// a *StatusError if the service responded with another status than 200.
func (a *AdminClient) List(ctx context.Context, prefix string) (map[string]kv.Event, error) {
	_, listed, err := a.client.list(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	records := map[string]kv.Event{}
	for _, record := range listed {
		records[record.Key] = record
	}
	return records, nil
}

// Commit commits a conditional transaction. Errors wrap ErrUnreachable, ErrConflict or
// ErrUncertain.
func (a *AdminClient) Commit(ctx context.Context, conditions []kv.Condition, writes []kv.Write) error {
	var answer response
	outcome := a.client.call(ctx, core.ClassUser, http.MethodPost, "/commit", newTransaction(conditions, writes), &answer)
	switch outcome {
	case kv.OK:
		return nil
	case kv.Conflict:
		return fmt.Errorf("%w: %v", ErrConflict, answer.Failed)
	case kv.Refused, kv.TooLarge:
		return fmt.Errorf("%w: refused", ErrUnreachable)
	default:
		return ErrUncertain
	}
}
