package store

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/vmihailenco/msgpack/v5"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// listPageSize is the maximum number of records in a page of a listing. The service allows
// pages of 1,000 records and 512 KiB; a record may have 16 KiB, but most are far smaller.
const listPageSize = "500"

// page is a page of a listing.
type page struct {
	Rows     []row  `msgpack:"rows"`
	HasNext  bool   `msgpack:"has_next"`
	Revision uint64 `msgpack:"ledger_rev"`
}

// row is a key in a listing.
type row struct {
	Key      string             `msgpack:"k"`
	Value    msgpack.RawMessage `msgpack:"v"`
	Revision uint64             `msgpack:"key_rev"`
}

// StatusError is an unexpected status of the state service.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// list returns all records whose keys have a prefix, in the order of their keys, and the
// revision at which the first page was read. Values that can't be decoded are left out. Later
// pages may have been read at later revisions, so a record may be newer than the returned
// revision.
func (c *Client) list(ctx context.Context, prefix string) (revision uint64, records []kv.Event, err error) {
	query := url.Values{"starts": {prefix}, "limit": {listPageSize}}
	for first := true; ; first = false {
		var current page
		status, err := c.exchange(ctx, c.http, http.MethodGet, "/store?"+query.Encode(), nil, &current)
		if err != nil {
			return 0, nil, err
		}
		if status != http.StatusOK {
			return 0, nil, &StatusError{status}
		}
		if first {
			revision = current.Revision
		}
		for _, r := range current.Rows {
			query.Set("from", r.Key)
			if value, err := wire.DecodeRecord(r.Key, r.Value); err == nil && value != nil {
				records = append(records, kv.Event{Key: r.Key, Revision: r.Revision, Value: value})
			}
		}
		if !current.HasNext || len(current.Rows) == 0 {
			return revision, records, nil
		}
	}
}
