package simulation

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// The state service and the cloud over their protocols, for controllers on loopback.

// answer writes a MessagePack answer.
func answer(w http.ResponseWriter, status int, body any) {
	raw, err := wire.Encode(body)
	must(err)
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the controller may be gone
}

// read decodes a request's body, or answers 400.
func read(w http.ResponseWriter, q *http.Request, into any) bool {
	body, err := io.ReadAll(q.Body)
	if err == nil {
		err = wire.Decode(body, into)
	}
	if err != nil {
		answer(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
	}
	return err == nil
}

// storedRow is a key as the state service tells of it.
type storedRow struct {
	Key   string             `msgpack:"k"`
	Value msgpack.RawMessage `msgpack:"v"`
	Rev   uint64             `msgpack:"key_rev"`
}

// commitCall is a transaction.
type commitCall struct {
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
func (l *Loopback) stateHandler(n *node) http.Handler {
	s := l.store
	mux := http.NewServeMux()
	// guarded runs f in the world's goroutine unless the service refuses the controller.
	guarded := func(w http.ResponseWriter, f func() (int, any)) {
		status, body := http.StatusServiceUnavailable, any(wire.Error{Error: "trouble"})
		l.call(func() {
			if !s.refuses(n) {
				status, body = f()
			}
		})
		answer(w, status, body)
	}
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, q *http.Request) {
		guarded(w, func() (int, any) {
			e := s.keys[q.PathValue("key")]
			if e == nil {
				return http.StatusNotFound, map[string]any{"ledger_rev": s.rev}
			}
			return http.StatusOK, storedRow{q.PathValue("key"), e.raw, e.rev}
		})
	})
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, q *http.Request) {
		guarded(w, func() (int, any) { return http.StatusOK, s.page(q) })
	})
	mux.HandleFunc("POST /commit", func(w http.ResponseWriter, q *http.Request) {
		var c commitCall
		if read(w, q, &c) {
			guarded(w, func() (int, any) { return s.commitCall(n, &c) })
		}
	})
	mux.HandleFunc("POST /grants", func(w http.ResponseWriter, q *http.Request) {
		var c struct {
			LifeMS int64 `msgpack:"life_ms"`
		}
		if read(w, q, &c) {
			guarded(w, func() (int, any) {
				_, id := s.lease(0, time.Duration(c.LifeMS)*time.Millisecond)
				return http.StatusOK, map[string]any{"permit": id}
			})
		}
	})
	mux.HandleFunc("POST /grants/{id}/extend", func(w http.ResponseWriter, q *http.Request) {
		id, _ := strconv.ParseUint(q.PathValue("id"), 10, 64)
		guarded(w, func() (int, any) {
			if id == 0 || s.leases[id] == nil {
				return http.StatusNotFound, map[string]any{"ledger_rev": s.rev}
			}
			s.lease(id, 0)
			return http.StatusOK, map[string]any{"permit": id}
		})
	})
	mux.HandleFunc("GET /watch", func(w http.ResponseWriter, q *http.Request) { l.watch(n, w, q) })
	return mux
}

// page is one page of a listing.
func (s *store) page(q *http.Request) any {
	query := q.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	rows := []storedRow{}
	for _, key := range sortedKeys(s.keys) {
		if !strings.HasPrefix(key, query.Get("starts")) || key <= query.Get("from") {
			continue
		}
		if len(rows) == limit {
			return map[string]any{"rows": rows, "has_next": true, "ledger_rev": s.rev}
		}
		rows = append(rows, storedRow{key, s.keys[key].raw, s.keys[key].rev})
	}
	return map[string]any{"rows": rows, "has_next": false, "ledger_rev": s.rev}
}

// commitCall carries a transaction out.
func (s *store) commitCall(n *node, c *commitCall) (int, any) {
	var conds []core.Condition
	for _, x := range c.If {
		conds = append(conds, core.Condition{Key: x.Key, Revision: x.Rev})
	}
	var puts []put
	for _, x := range c.Writes {
		if x.Drop != "" {
			puts = append(puts, put{key: x.Drop})
		} else {
			puts = append(puts, put{key: x.Put, raw: x.Value, lease: x.Lease})
		}
	}
	out, rev, failed := s.commit(n, conds, puts)
	switch out {
	case core.OK:
		return http.StatusOK, map[string]any{"ledger_rev": rev}
	case core.Conflict:
		return http.StatusConflict, map[string]any{"failed": failed, "ledger_rev": rev}
	case core.LeaseExpired:
		return http.StatusBadRequest, wire.Error{Error: "no such lease"}
	}
	return http.StatusTooManyRequests, wire.Error{Error: "too many changes"}
}

// watchPause lies between two looks for changes on behalf of a watch.
const watchPause = 15 * time.Millisecond

// watch answers with the changes after a revision, or waits for them.
func (l *Loopback) watch(n *node, w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.ParseUint(q.URL.Query().Get("from"), 10, 64)
	block, _ := strconv.Atoi(q.URL.Query().Get("block_ms"))
	deadline := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		var events []map[string]any
		rev, silent := from, false
		l.call(func() {
			silent = l.store.refuses(n)
			events, rev = l.store.since(from)
		})
		if !silent && (len(events) > 0 || time.Now().After(deadline)) {
			answer(w, http.StatusOK, map[string]any{"ledger_rev": rev, "events": events})
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(watchPause):
		}
	}
}

// since lists the changes after a revision.
func (s *store) since(from uint64) ([]map[string]any, uint64) {
	first := len(s.log)
	for first > 0 && s.log[first-1].rev > from {
		first--
	}
	var events []map[string]any
	for _, c := range s.log[first:] {
		if c.raw == nil {
			events = append(events, map[string]any{"drop": c.key, "key_rev": c.rev})
		} else {
			events = append(events, map[string]any{"put": c.key, "v": msgpack.RawMessage(c.raw), "key_rev": c.rev})
		}
	}
	return events, max(from, s.rev)
}

// cloudHandler serves the cloud to one controller.
func (l *Loopback) cloudHandler(n *node) http.Handler {
	mux := http.NewServeMux()
	call := func(w http.ResponseWriter, q core.CallCloud) {
		var r core.CloudAnswered
		l.call(func() {
			if q.Provision != nil || q.Deprovision != nil {
				if l.staleLeader(n) {
					l.broke("stale_leader", "%s deals with the cloud", n.label)
				}
				l.takeovers.calls(n)
			}
			r = core.CloudAnswered{Outcome: core.Refused}
			if !l.cloud.outage {
				r = l.cloud.call(q)
			}
		})
		switch {
		case r.Outcome == core.NoCapacity:
			answer(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		case r.Outcome != core.OK:
			answer(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
		case q.ListTypes:
			answer(w, http.StatusOK, wire.MachineTypeList{MachineTypes: r.MachineTypes})
		case q.ListMachines:
			answer(w, http.StatusOK, wire.MachineList{Machines: r.Machines})
		default:
			answer(w, http.StatusOK, wire.MachineNames{Names: r.Names})
		}
	}
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) { call(w, core.CallCloud{ListTypes: true}) })
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { call(w, core.CallCloud{ListMachines: true}) })
	mux.HandleFunc("POST /hosts", func(w http.ResponseWriter, q *http.Request) {
		var hire wire.ProvisionRequest
		if read(w, q, &hire) {
			call(w, core.CallCloud{Provision: &hire})
		}
	})
	mux.HandleFunc("POST /hosts/return", func(w http.ResponseWriter, q *http.Request) {
		var names wire.MachineNames
		if read(w, q, &names) {
			call(w, core.CallCloud{Deprovision: names.Names})
		}
	})
	return mux
}
