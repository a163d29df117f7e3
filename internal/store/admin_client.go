package store

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// AdminClient reads and changes records for an operator's command, one request at a time.
type AdminClient struct{ client *Client }

// adminRPS is what a command asks of the state service at most: little, beside the
// controllers that serve.
const adminRPS = 4

// NewAdminClient makes a tool for the state service at an address.
func NewAdminClient(addr string) *AdminClient {
	return &AdminClient{New(addr, 1, adminRPS, func(core.Input) {})}
}

// Faults of requests to the state service.
var (
	ErrUnreachable = errors.New("the state service can't be reached")
	ErrConflict    = errors.New("a record has changed meanwhile")
	ErrUncertain   = errors.New("the state service has not answered: the change may have been made")
)

// List reads all records below a prefix, by key.
func (t *AdminClient) List(prefix string) (map[string]core.Event, error) {
	records := map[string]core.Event{}
	query := url.Values{"starts": {prefix}, "limit": {listPageSize}}
	for {
		var page page
		status, err := t.client.send(t.client.http, http.MethodGet, "/store?"+query.Encode(), nil, &page)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		if status != http.StatusOK {
			return nil, fmt.Errorf("%w: status %d", ErrUnreachable, status)
		}
		for _, r := range page.Rows {
			query.Set("from", r.Key)
			if value, err := wire.DecodeRecord(r.Key, r.Value); err == nil && value != nil {
				records[r.Key] = core.Event{Key: r.Key, Revision: r.Revision, Value: value}
			}
		}
		if !page.HasNext || len(page.Rows) == 0 {
			return records, nil
		}
	}
}

// Commit runs a transaction.
func (t *AdminClient) Commit(conds []core.Condition, writes []core.Write) error {
	var a response
	switch out := t.client.call(core.ClassUser, http.MethodPost, "/commit", commitRequest(conds, writes), &a); out {
	case core.OK:
		return nil
	case core.Conflict:
		return fmt.Errorf("%w: %v", ErrConflict, a.Failed)
	case core.Refused, core.TooLarge:
		return fmt.Errorf("%w: refused", ErrUnreachable)
	default:
		return ErrUncertain
	}
}
