//go:build review

package standin

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StateLimits are the limits of the state service, as in the settings.
type StateLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

// StateRequest describes a request of a controller to the state service.
type StateRequest struct {
	Node int    // index of the controller
	Kind string // "commit", "read", "list", "lease" or "watch"
	Keys []string
}

// StateAction says what the state service does with a request.
type StateAction struct {
	Refuse     bool          // answer 503 and do nothing
	Reset      bool          // reset the connection and do nothing
	Delay      time.Duration // wait before the request is carried out
	LoseAnswer bool          // carry it out and never answer
	Late       time.Duration // never answer, carry it out after this time
}

type row struct {
	value  any
	rev    uint64
	permit uint64
}

type change struct {
	key     string
	value   any // nil: dropped
	dropped bool
	rev     uint64
}

type grant struct {
	life    time.Duration
	endsAt  time.Time
	expired bool
}

// StateService is a stand-in for the state service. Each controller has an address of its own.
type StateService struct {
	limits StateLimits
	// Decide is asked about every request; it may be nil.
	Decide func(StateRequest) StateAction

	mu        sync.Mutex
	rows      map[string]*row
	rev       uint64
	changes   []change
	grants    map[uint64]*grant
	nextGrant uint64
	changed   chan struct{} // closed at each change
	requests  bucket
	writes    bucket
	listeners []net.Listener
}

// bucket is a rate limit that allows bursts of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

// keptChanges is how many changes a watch can go back.
const keptChanges = 10_000

// NewStateService starts a state service for a number of controllers.
func NewStateService(limits StateLimits, nodes int) (*StateService, []string, error) {
	s := &StateService{
		limits: limits, rows: map[string]*row{}, grants: map[uint64]*grant{}, changed: make(chan struct{}),
		requests: bucket{rate: limits.RPS}, writes: bucket{rate: limits.WriteRPS},
	}
	var addresses []string
	for node := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		s.listeners = append(s.listeners, listener)
		addresses = append(addresses, listener.Addr().String())
		go func() { _ = http.Serve(listener, s.handler(node)) }() // until Close
	}
	go s.expire()
	return s, addresses, nil
}

// SetLimits replaces the limits without notice. What is stored stays readable.
func (s *StateService) SetLimits(limits StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.requests.rate, s.writes.rate = limits.RPS, limits.WriteRPS
}

// Close stops the service.
func (s *StateService) Close() {
	for _, listener := range s.listeners {
		listener.Close()
	}
}

// expire ends grants that were not extended, within 100 ms of their end.
func (s *StateService) expire() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for id, g := range s.grants {
			if time.Now().After(g.endsAt) {
				s.end(id)
			}
		}
		s.mu.Unlock()
	}
}

// end ends a grant and removes the keys attached to it.
func (s *StateService) end(id uint64) {
	delete(s.grants, id)
	var keys []string
	for key, r := range s.rows {
		if r.permit == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	s.rev++
	for _, key := range keys {
		delete(s.rows, key)
		s.changes = append(s.changes, change{key: key, dropped: true, rev: s.rev})
	}
	s.notify()
}

func (s *StateService) notify() {
	if len(s.changes) > keptChanges {
		s.changes = s.changes[len(s.changes)-keptChanges:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Value returns the value of a key, or nil.
func (s *StateService) Value(key string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.rows[key]; r != nil {
		return r.value
	}
	return nil
}

var trouble = Map{"error": "trouble"}

// serve applies Decide and the rate limit, and carries a request out.
func (s *StateService) serve(w http.ResponseWriter, request StateRequest, run func() (int, any)) {
	action := StateAction{}
	if s.Decide != nil {
		action = s.Decide(request)
	}
	if action.Refuse {
		respond(w, http.StatusServiceUnavailable, trouble)
		return
	}
	if action.Reset {
		panic(http.ErrAbortHandler)
	}
	locked := func() (int, any) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return run()
	}
	s.mu.Lock()
	allowed := s.requests.take(1)
	s.mu.Unlock()
	if !allowed {
		respond(w, http.StatusTooManyRequests, Map{"error": "too many requests"})
		return
	}
	if action.Late > 0 {
		time.AfterFunc(action.Late, func() { locked() })
		panic(http.ErrAbortHandler)
	}
	time.Sleep(action.Delay)
	status, body := locked()
	if action.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	respond(w, status, body)
}

func (s *StateService) handler(node int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, r *http.Request) {
		key := r.PathValue("key")
		s.serve(w, StateRequest{node, "read", []string{key}}, func() (int, any) {
			found := s.rows[key]
			if found == nil {
				return http.StatusNotFound, Map{"ledger_rev": s.rev}
			}
			return http.StatusOK, Map{"k": key, "v": found.value, "key_rev": found.rev, "permit": found.permit}
		})
	})
	mux.HandleFunc("GET /store", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		s.serve(w, StateRequest{node, "list", nil}, func() (int, any) {
			return http.StatusOK, s.list(query.Get("starts"), query.Get("from"), query.Get("limit"))
		})
	})
	mux.HandleFunc("POST /commit", func(w http.ResponseWriter, r *http.Request) {
		body, ok := readMap(r)
		if !ok {
			respond(w, http.StatusBadRequest, Map{"error": "malformed"})
			return
		}
		var keys []string
		writes, _ := body["writes"].([]any)
		for _, x := range writes {
			m, _ := x.(Map)
			keys = append(keys, text(m["put"])+text(m["drop"]))
		}
		s.serve(w, StateRequest{node, "commit", keys}, func() (int, any) { return s.commit(body) })
	})
	mux.HandleFunc("POST /grants", func(w http.ResponseWriter, r *http.Request) {
		body, _ := readMap(r)
		s.serve(w, StateRequest{node, "lease", nil}, func() (int, any) {
			life := time.Duration(number(body["life_ms"])) * time.Millisecond
			s.nextGrant++
			s.grants[s.nextGrant] = &grant{life: life, endsAt: time.Now().Add(life)}
			return http.StatusOK, Map{"permit": s.nextGrant}
		})
	})
	mux.HandleFunc("POST /grants/{id}/extend", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.serve(w, StateRequest{node, "lease", nil}, func() (int, any) {
			g := s.grants[id]
			if g == nil {
				return http.StatusNotFound, Map{"ledger_rev": s.rev}
			}
			g.endsAt = time.Now().Add(g.life)
			return http.StatusOK, Map{"permit": id}
		})
	})
	mux.HandleFunc("DELETE /grants/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.serve(w, StateRequest{node, "lease", nil}, func() (int, any) {
			if s.grants[id] == nil {
				return http.StatusNotFound, Map{"ledger_rev": s.rev}
			}
			s.end(id)
			return http.StatusOK, Map{}
		})
	})
	mux.HandleFunc("GET /watch", func(w http.ResponseWriter, r *http.Request) { s.watch(node, w, r) })
	return mux
}

// list returns a page of the rows with a prefix.
func (s *StateService) list(prefix, from, limitText string) Map {
	const maxRows, maxBytes = 1000, 512 << 10
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	rows, bytes, more := []any{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if !strings.HasPrefix(key, prefix) || key <= from {
			continue
		}
		size := jsonSize(s.rows[key].value) + len(key)
		if len(rows) == limit || bytes+size > maxBytes {
			more = true
			break
		}
		bytes += size
		rows = append(rows, Map{"k": key, "v": s.rows[key].value, "key_rev": s.rows[key].rev})
	}
	return Map{"rows": rows, "has_next": more, "ledger_rev": s.rev}
}

// commit carries out a transaction.
func (s *StateService) commit(body Map) (int, any) {
	conditions, _ := body["if"].([]any)
	writes, _ := body["writes"].([]any)
	malformed := func(reason string) (int, any) { return http.StatusBadRequest, Map{"error": reason} }
	switch {
	case len(writes) > s.limits.TxnOps:
		return malformed("too many changes")
	case len(conditions) > 4*s.limits.TxnOps:
		return malformed("too many conditions")
	case jsonSize(body) > 64<<10:
		return malformed("too large")
	case len(writes) > 0 && !s.writes.take(float64(len(writes))):
		return http.StatusTooManyRequests, Map{"error": "too many changes"}
	}
	var failed []string
	for _, x := range conditions {
		m, _ := x.(Map)
		key, rev := text(m["k"]), uint64(0)
		if found := s.rows[key]; found != nil {
			rev = found.rev
		}
		if rev != integer(m["key_rev"]) {
			failed = append(failed, key)
		}
	}
	for _, x := range writes {
		m, _ := x.(Map)
		if permit := integer(m["permit"]); permit != 0 && s.grants[permit] == nil {
			return malformed("no such lease")
		}
		if key := text(m["put"]); key != "" && float64(jsonSize(m["v"])) > s.limits.ValueKB*1024 {
			return malformed("value of " + key + " is too large")
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, Map{"failed": failed, "ledger_rev": s.rev}
	}
	if len(writes) == 0 {
		return http.StatusOK, Map{"ledger_rev": s.rev}
	}
	s.rev++
	for _, x := range writes {
		m, _ := x.(Map)
		if key := text(m["put"]); key != "" {
			s.rows[key] = &row{value: m["v"], rev: s.rev, permit: integer(m["permit"])}
			s.changes = append(s.changes, change{key: key, value: m["v"], rev: s.rev})
		} else if key := text(m["drop"]); s.rows[key] != nil {
			delete(s.rows, key)
			s.changes = append(s.changes, change{key: key, dropped: true, rev: s.rev})
		}
	}
	s.notify()
	return http.StatusOK, Map{"ledger_rev": s.rev}
}

// watch answers with the changes after a revision, or when the time is over. A watch of a
// controller that is refused stays open, as during an outage.
func (s *StateService) watch(node int, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	block, _ := strconv.Atoi(query.Get("block_ms"))
	deadline := time.After(time.Duration(block) * time.Millisecond)
	request := StateRequest{node, "watch", nil}
	if s.Decide != nil && s.Decide(request).Refuse {
		respond(w, http.StatusServiceUnavailable, trouble)
		return
	}
	s.mu.Lock()
	allowed := s.requests.take(1)
	s.mu.Unlock()
	if !allowed {
		respond(w, http.StatusTooManyRequests, Map{"error": "too many requests"})
		return
	}
	over := false
	for {
		s.mu.Lock()
		rev, changed := s.rev, s.changed
		gone := len(s.changes) == keptChanges && s.changes[0].rev > from+1
		events := []any{}
		for _, c := range s.changes {
			if c.rev <= from || !strings.HasPrefix(c.key, query.Get("starts")) {
				continue
			}
			if c.dropped {
				events = append(events, Map{"drop": c.key, "key_rev": c.rev})
			} else {
				events = append(events, Map{"put": c.key, "v": c.value, "key_rev": c.rev})
			}
		}
		s.mu.Unlock()
		refused := s.Decide != nil && s.Decide(request).Refuse
		switch {
		case refused:
		case gone:
			respond(w, http.StatusGone, Map{"error": "too old"})
			return
		case len(events) > 0 || over:
			respond(w, http.StatusOK, Map{"ledger_rev": max(rev, from), "events": events})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-deadline:
			over = true
		case <-time.After(100 * time.Millisecond):
		}
	}
}
