package simulation

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// storedRow is a key as the state service tells of it.
type storedRow struct {
	Key   string             `msgpack:"k"`
	Value msgpack.RawMessage `msgpack:"v"`
	Rev   uint64             `msgpack:"key_rev"`
}

// commitRequest is a transaction.
type commitRequest struct {
	If []struct {
		Key string `msgpack:"k"`
		Rev uint64 `msgpack:"key_rev"`
	} `msgpack:"if"`
	Writes []struct {
		Put   string             `msgpack:"put"`
		Value msgpack.RawMessage `msgpack:"v"`
		Lease uint64             `msgpack:"permit"`
		Drop  string             `msgpack:"drop"`
	} `msgpack:"writes"`
}

// stateHandler serves the state service to one controller.
func (loopback *Loopback) stateHandler(ctrl *controller) http.Handler {
	store := loopback.store
	mux := http.NewServeMux()
	// guarded runs f in the world's goroutine unless the service refuses the controller.
	guarded := func(w http.ResponseWriter, f func() (int, any)) {
		status, body := http.StatusServiceUnavailable, any(wire.Error{Error: "trouble"})
		loopback.postAndWait(func() {
			if !store.refuses(ctrl) {
				status, body = f()
			}
		})
		writeReply(w, status, body)
	}
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, q *http.Request) {
		guarded(w, func() (int, any) {
			record := store.records[q.PathValue("key")]
			if record == nil {
				return http.StatusNotFound, map[string]any{"ledger_rev": store.revision}
			}
			return http.StatusOK, storedRow{q.PathValue("key"), record.raw, record.revision}
		})
	})
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, q *http.Request) {
		guarded(w, func() (int, any) { return http.StatusOK, store.listPage(q) })
	})
	mux.HandleFunc("POST /commit", func(w http.ResponseWriter, q *http.Request) {
		var c commitRequest
		if readRequest(w, q, &c) {
			guarded(w, func() (int, any) { return store.commitRequest(ctrl, &c) })
		}
	})
	mux.HandleFunc("POST /grants", func(w http.ResponseWriter, q *http.Request) {
		var c struct {
			LifeMS int64 `msgpack:"life_ms"`
		}
		if readRequest(w, q, &c) {
			guarded(w, func() (int, any) {
				_, id := store.renewLease(0, time.Duration(c.LifeMS)*time.Millisecond)
				return http.StatusOK, map[string]any{"permit": id}
			})
		}
	})
	mux.HandleFunc("POST /grants/{id}/extend", func(w http.ResponseWriter, q *http.Request) {
		id, _ := strconv.ParseUint(q.PathValue("id"), 10, 64)
		guarded(w, func() (int, any) {
			if id == 0 || store.leases[id] == nil {
				return http.StatusNotFound, map[string]any{"ledger_rev": store.revision}
			}
			store.renewLease(id, 0)
			return http.StatusOK, map[string]any{"permit": id}
		})
	})
	mux.HandleFunc("GET /watch", func(w http.ResponseWriter, q *http.Request) { loopback.watch(ctrl, w, q) })
	return mux
}

// listPage is one page of a listing.
func (store *stateService) listPage(q *http.Request) any {
	query := q.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	rows := []storedRow{}
	for _, key := range sortedKeys(store.records) {
		if !strings.HasPrefix(key, query.Get("starts")) || key <= query.Get("from") {
			continue
		}
		if len(rows) == limit {
			return map[string]any{"rows": rows, "has_next": true, "ledger_rev": store.revision}
		}
		rows = append(rows, storedRow{key, store.records[key].raw, store.records[key].revision})
	}
	return map[string]any{"rows": rows, "has_next": false, "ledger_rev": store.revision}
}

// commitRequest carries a transaction out.
func (store *stateService) commitRequest(ctrl *controller, c *commitRequest) (int, any) {
	var conditions []core.Condition
	for _, x := range c.If {
		conditions = append(conditions, core.Condition{Key: x.Key, Revision: x.Rev})
	}
	var writes []recordWrite
	for _, x := range c.Writes {
		if x.Drop != "" {
			writes = append(writes, recordWrite{key: x.Drop})
		} else {
			writes = append(writes, recordWrite{key: x.Put, raw: x.Value, leaseID: x.Lease})
		}
	}
	outcome, rev, failed := store.commit(ctrl, conditions, writes)
	switch outcome {
	case core.OK:
		return http.StatusOK, map[string]any{"ledger_rev": rev}
	case core.Conflict:
		return http.StatusConflict, map[string]any{"failed": failed, "ledger_rev": rev}
	case core.LeaseExpired:
		return http.StatusBadRequest, wire.Error{Error: "no such lease"}
	}
	return http.StatusTooManyRequests, wire.Error{Error: "too many changes"}
}

// watchPollInterval lies between two looks for changes on behalf of a watch.
const watchPollInterval = 15 * time.Millisecond

// watch answers with the changes after a revision, or waits for them.
func (loopback *Loopback) watch(ctrl *controller, w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.ParseUint(q.URL.Query().Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.URL.Query().Get("block_ms"))
	deadline := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		var events []map[string]any
		rev, silent := from, false
		loopback.postAndWait(func() {
			silent = loopback.store.refuses(ctrl)
			events, rev = loopback.store.changesSince(from)
		})
		if !silent && (len(events) > 0 || time.Now().After(deadline)) {
			writeReply(w, http.StatusOK, map[string]any{"ledger_rev": rev, "events": events})
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(watchPollInterval):
		}
	}
}

// changesSince lists the changes after a revision.
func (store *stateService) changesSince(from uint64) ([]map[string]any, uint64) {
	first := len(store.changes)
	for first > 0 && store.changes[first-1].revision > from {
		first--
	}
	var events []map[string]any
	for _, c := range store.changes[first:] {
		if c.raw == nil {
			events = append(events, map[string]any{"drop": c.key, "key_rev": c.revision})
		} else {
			events = append(events, map[string]any{"put": c.key, "v": msgpack.RawMessage(c.raw), "key_rev": c.revision})
		}
	}
	return events, max(from, store.revision)
}
