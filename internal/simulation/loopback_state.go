package simulation

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// storedRow is a stored key with its value in the protocol of the state service.
type storedRow struct {
	Key   string             `msgpack:"k"`
	Value msgpack.RawMessage `msgpack:"v"`
	Rev   uint64             `msgpack:"key_rev"`
}

// commitRequest is a transaction in the protocol of the state service.
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

// leaseRequest is a request for a new lease in the protocol of the state service.
type leaseRequest struct {
	LifeMS int64 `msgpack:"life_ms"`
}

// stateHandler serves the state service's protocol to a controller.
func (l *Loopback) stateHandler(ctrl *controller) http.Handler {
	store := l.store
	mux := http.NewServeMux()
	respond := func(w http.ResponseWriter, run func() serviceReply) {
		reply, ok := postAndWait(l, func() serviceReply {
			if store.refuses(ctrl) {
				return unavailable
			}
			return run()
		})
		if !ok {
			reply = unavailable
		}
		reply.write(w)
	}
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, request *http.Request) {
		respond(w, func() serviceReply { return store.serveRecord(request.PathValue("key")) })
	})
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, request *http.Request) {
		respond(w, func() serviceReply { return store.servePage(request) })
	})
	mux.HandleFunc("POST /commit", func(w http.ResponseWriter, request *http.Request) {
		var commit commitRequest
		if readRequest(w, request, &commit) {
			respond(w, func() serviceReply { return store.serveCommit(ctrl, &commit) })
		}
	})
	mux.HandleFunc("POST /grants", func(w http.ResponseWriter, request *http.Request) {
		var lease leaseRequest
		if readRequest(w, request, &lease) {
			respond(w, func() serviceReply {
				_, id := store.renewLease(0, time.Duration(lease.LifeMS)*time.Millisecond)
				return serviceReply{http.StatusOK, map[string]any{"permit": id}}
			})
		}
	})
	mux.HandleFunc("POST /grants/{id}/extend", func(w http.ResponseWriter, request *http.Request) {
		id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
		respond(w, func() serviceReply { return store.serveRenewal(id) })
	})
	mux.HandleFunc("GET /watch", func(w http.ResponseWriter, request *http.Request) { l.serveWatch(ctrl, w, request) })
	return mux
}

// revisionBody returns the body of a reply that contains only the store's revision.
func (s *stateService) revisionBody() map[string]any {
	return map[string]any{"ledger_rev": s.revision}
}

// serveRecord returns the record of a key.
func (s *stateService) serveRecord(key string) serviceReply {
	record := s.records[key]
	if record == nil {
		return serviceReply{http.StatusNotFound, s.revisionBody()}
	}
	return serviceReply{http.StatusOK, storedRow{key, record.raw, record.revision}}
}

// servePage returns one page of a listing.
func (s *stateService) servePage(request *http.Request) serviceReply {
	query := request.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	rows, more := []storedRow{}, false
	for _, key := range sortedKeys(s.records) {
		if !strings.HasPrefix(key, query.Get("starts")) || key <= query.Get("from") {
			continue
		}
		if more = len(rows) == limit; more {
			break
		}
		rows = append(rows, storedRow{key, s.records[key].raw, s.records[key].revision})
	}
	return serviceReply{http.StatusOK, map[string]any{"rows": rows, "has_next": more, "ledger_rev": s.revision}}
}

// serveCommit commits a transaction.
func (s *stateService) serveCommit(ctrl *controller, commit *commitRequest) serviceReply {
	var conditions []kv.Condition
	for _, x := range commit.If {
		conditions = append(conditions, kv.Condition{Key: x.Key, Revision: x.Rev})
	}
	var writes []recordWrite
	for _, x := range commit.Writes {
		if x.Drop != "" {
			writes = append(writes, recordWrite{key: x.Drop})
		} else {
			writes = append(writes, recordWrite{key: x.Put, raw: x.Value, leaseID: x.Lease})
		}
	}
	outcome, revision, failed := s.commit(ctrl, conditions, writes)
	switch outcome {
	case kv.OK:
		return serviceReply{http.StatusOK, map[string]any{"ledger_rev": revision}}
	case kv.Conflict:
		return serviceReply{http.StatusConflict, map[string]any{"failed": failed, "ledger_rev": revision}}
	case kv.LeaseExpired:
		return serviceReply{http.StatusBadRequest, wire.Error{Error: "no such lease"}}
	}
	return serviceReply{http.StatusTooManyRequests, wire.Error{Error: "too many changes"}}
}

// serveRenewal renews a lease.
func (s *stateService) serveRenewal(id uint64) serviceReply {
	if id == 0 || s.leases[id] == nil {
		return serviceReply{http.StatusNotFound, s.revisionBody()}
	}
	s.renewLease(id, 0)
	return serviceReply{http.StatusOK, map[string]any{"permit": id}}
}

// watchPollInterval is the interval at which a watch checks the store for changes.
const watchPollInterval = 15 * time.Millisecond

// watchProgress is the result of a watch's check for changes.
type watchProgress struct {
	events   []map[string]any
	revision uint64
	refused  bool // the service refuses the controller, so that the watch hangs
}

// serveWatch replies with the changes after a revision. It waits until a change exists, or
// until the time given by the request's block_ms has passed.
func (l *Loopback) serveWatch(ctrl *controller, w http.ResponseWriter, request *http.Request) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	block, _ := strconv.Atoi(request.URL.Query().Get("block_ms"))
	deadline := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		progress, ok := postAndWait(l, func() watchProgress {
			events, revision := l.store.changesSince(from)
			return watchProgress{events, revision, l.store.refuses(ctrl)}
		})
		if !ok {
			progress.revision = from
		}
		if !progress.refused && (len(progress.events) > 0 || time.Now().After(deadline)) {
			serviceReply{http.StatusOK, map[string]any{"ledger_rev": progress.revision, "events": progress.events}}.write(w)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(watchPollInterval):
		}
	}
}

// changesSince returns the changes after a revision in the form of the service's protocol,
// and the revision that they result in.
func (s *stateService) changesSince(from uint64) ([]map[string]any, uint64) {
	first := len(s.changes)
	for first > 0 && s.changes[first-1].revision > from {
		first--
	}
	var events []map[string]any
	for _, change := range s.changes[first:] {
		if change.raw == nil {
			events = append(events, map[string]any{"drop": change.key, "key_rev": change.revision})
		} else {
			events = append(events, map[string]any{
				"put":     change.key,
				"v":       msgpack.RawMessage(change.raw),
				"key_rev": change.revision,
			})
		}
	}
	return events, max(from, s.revision)
}
