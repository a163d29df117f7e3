//go:build review

// Package lab2 has the stand-ins of the second review: a state service, a cloud, workers and
// users, which follow the protocol page, and the controllers as separate processes.
package lab2

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS      float64
	WriteRPS float64
	ValueKB  float64
	TxnOps   int
}

// State is the stand-in of the state service. Each controller reaches it at an address of its own.
type State struct {
	rec *Recorder

	mu       sync.Mutex
	limits   StateLimits
	revision uint64
	records  map[string]*stateRecord
	leases   map[uint64]*stateLease
	nextID   uint64
	changes  []stateChange
	changed  chan struct{}
	requests bucket
	writes   bucket
	outage   bool
	refused  map[int]bool // by index of the controller
	listen   []net.Listener

	// BeforeCommit, if set, is called without the lock for each transaction that a controller
	// sends, before it is carried out. It may sleep: then the transaction is carried out late.
	BeforeCommit func(controller int, values [][]byte)
}

type stateRecord struct {
	raw      msgpack.RawMessage
	revision uint64
	lease    uint64
}

type stateLease struct {
	life    time.Duration
	expires time.Time
}

type stateChange struct {
	key      string
	raw      msgpack.RawMessage // nil: removed
	revision uint64
}

// bucket is a rate limit that allows a burst.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(count, rate, burst float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < count {
		return false
	}
	b.tokens -= count
	return true
}

// NewState starts the service, with an address for each controller.
func NewState(limits StateLimits, controllers int, rec *Recorder) (*State, error) {
	s := &State{rec: rec, limits: limits, records: map[string]*stateRecord{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}), refused: map[int]bool{}}
	for i := range controllers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.listen = append(s.listen, listener)
		go http.Serve(listener, s.handler(i))
	}
	go s.expire()
	return s, nil
}

// Address returns the address at which a controller reaches the service.
func (s *State) Address(controller int) string { return s.listen[controller].Addr().String() }

// SetLimits replaces the limits.
func (s *State) SetLimits(limits StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.rec.Log("state_limits", "limits", limits)
}

// SetOutage begins or ends an outage. After it every lease has its full time again.
func (s *State) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage && !on {
		for _, lease := range s.leases {
			lease.expires = time.Now().Add(lease.life)
		}
	}
	s.outage = on
	s.rec.Log("state_outage", "on", on)
}

// SetRefused makes the service refuse one controller, or serve it again.
func (s *State) SetRefused(controller int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[controller] = on
	s.rec.Log("state_refuses", "controller", controller, "on", on)
}

// Value returns the stored value of a key, decoded; nil if there is none.
func (s *State) Value(key string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[key]
	if record == nil {
		return nil
	}
	var value any
	_ = msgpack.Unmarshal(record.raw, &value)
	return value
}

// CountKeys returns the number of keys with a prefix.
func (s *State) CountKeys(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for key := range s.records {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

func (s *State) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		if !s.outage {
			for id, lease := range s.leases {
				if time.Now().After(lease.expires) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The lock must be held.
func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, record := range s.records {
		if record.lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, key := range keys {
		delete(s.records, key)
		s.changes = append(s.changes, stateChange{key: key, revision: s.revision})
	}
	s.notify()
}

func (s *State) notify() {
	const keptChanges = 10_000
	if len(s.changes) > keptChanges {
		s.changes = s.changes[len(s.changes)-keptChanges:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type object = map[string]any

func respond(w http.ResponseWriter, status int, body any) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, nil
	}
	w.WriteHeader(status)
	w.Write(raw)
}

func readBody(w http.ResponseWriter, r *http.Request, target any) bool {
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = msgpack.Unmarshal(raw, target)
	}
	if err != nil {
		respond(w, http.StatusBadRequest, object{"error": "malformed"})
		return false
	}
	return true
}

// admit applies outages and the rate of requests. The lock must be held.
func (s *State) admit(w http.ResponseWriter, controller int) bool {
	switch {
	case s.outage || s.refused[controller]:
		respond(w, http.StatusServiceUnavailable, object{"error": "unavailable"})
		return false
	case !s.requests.take(1, s.limits.RPS, s.limits.RPS):
		respond(w, http.StatusTooManyRequests, object{"error": "too many requests"})
		return false
	}
	return true
}

// jsonSize returns the size of a MessagePack value as JSON.
func jsonSize(raw []byte) int {
	var value any
	if msgpack.Unmarshal(raw, &value) != nil {
		return len(raw)
	}
	text, err := json.Marshal(value)
	if err != nil {
		return len(raw)
	}
	return len(text)
}

type commitBody struct {
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

func (s *State) handler(controller int) http.Handler {
	mux := http.NewServeMux()
	locked := func(run func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.admit(w, controller) {
				run(w, r)
			}
		}
	}
	mux.HandleFunc("GET /store/{key...}", locked(func(w http.ResponseWriter, r *http.Request) {
		key := r.PathValue("key")
		if record := s.records[key]; record != nil {
			respond(w, http.StatusOK, object{"k": key, "v": record.raw, "key_rev": record.revision})
			return
		}
		respond(w, http.StatusNotFound, object{"ledger_rev": s.revision})
	}))
	mux.HandleFunc("GET /store", locked(s.serveList))
	mux.HandleFunc("POST /commit", func(w http.ResponseWriter, r *http.Request) {
		var body commitBody
		if !readBody(w, r, &body) {
			return
		}
		if s.BeforeCommit != nil {
			var values [][]byte
			for _, write := range body.Writes {
				values = append(values, write.Value)
			}
			s.BeforeCommit(controller, values)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.admit(w, controller) {
			s.serveCommit(w, controller, &body)
		}
	})
	mux.HandleFunc("POST /grants", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Life int64 `msgpack:"life_ms"`
		}
		if !readBody(w, r, &body) {
			return
		}
		locked(func(w http.ResponseWriter, _ *http.Request) {
			s.nextID++
			life := time.Duration(body.Life) * time.Millisecond
			s.leases[s.nextID] = &stateLease{life, time.Now().Add(life)}
			respond(w, http.StatusOK, object{"permit": s.nextID})
		})(w, r)
	})
	mux.HandleFunc("POST /grants/{id}/extend", locked(func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		lease := s.leases[id]
		if lease == nil {
			respond(w, http.StatusNotFound, object{"ledger_rev": s.revision})
			return
		}
		lease.expires = time.Now().Add(lease.life)
		respond(w, http.StatusOK, object{"permit": id})
	}))
	mux.HandleFunc("DELETE /grants/{id}", locked(func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.endLease(id)
		respond(w, http.StatusOK, object{})
	}))
	mux.HandleFunc("GET /watch", func(w http.ResponseWriter, r *http.Request) { s.serveWatch(w, r, controller) })
	return mux
}

func (s *State) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for key := range s.records {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, more := []object{}, len(keys) > limit
	for _, key := range keys[:min(limit, len(keys))] {
		rows = append(rows, object{"k": key, "v": s.records[key].raw, "key_rev": s.records[key].revision})
	}
	respond(w, http.StatusOK, object{"rows": rows, "has_next": more, "ledger_rev": s.revision})
}

func (s *State) serveCommit(w http.ResponseWriter, controller int, body *commitBody) {
	const maxBodyBytes = 64 << 10
	total := 0
	if len(body.Writes) > s.limits.TxnOps || len(body.If) > 4*s.limits.TxnOps {
		s.rec.Log("commit_too_large", "controller", controller, "writes", len(body.Writes), "conditions", len(body.If))
		respond(w, http.StatusBadRequest, object{"error": "transaction is too large"})
		return
	}
	for _, write := range body.Writes {
		size := 0
		if write.Put != "" {
			size = jsonSize(write.Value)
		}
		total += size
		if float64(size) > s.limits.ValueKB*1024 || total > maxBodyBytes {
			s.rec.Log("value_too_large", "controller", controller, "key", write.Put, "bytes", size)
			respond(w, http.StatusBadRequest, object{"error": "value is too large"})
			return
		}
	}
	if len(body.Writes) > 0 && !s.writes.take(float64(len(body.Writes)), s.limits.WriteRPS, s.limits.WriteRPS) {
		respond(w, http.StatusTooManyRequests, object{"error": "too many changes"})
		return
	}
	for _, write := range body.Writes {
		if write.Put != "" && write.Lease != 0 && s.leases[write.Lease] == nil {
			respond(w, http.StatusBadRequest, object{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, condition := range body.If {
		revision := uint64(0)
		if record := s.records[condition.Key]; record != nil {
			revision = record.revision
		}
		if revision != condition.Rev {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		respond(w, http.StatusConflict, object{"failed": failed, "ledger_rev": s.revision})
		return
	}
	if len(body.Writes) > 0 {
		s.revision++
		for _, write := range body.Writes {
			if write.Drop != "" {
				delete(s.records, write.Drop)
				s.changes = append(s.changes, stateChange{key: write.Drop, revision: s.revision})
				continue
			}
			s.records[write.Put] = &stateRecord{raw: write.Value, revision: s.revision, lease: write.Lease}
			s.changes = append(s.changes, stateChange{key: write.Put, raw: write.Value, revision: s.revision})
			if write.Put == "m/leader" {
				s.rec.Log("leader", "controller", controller, "revision", s.revision)
			}
		}
		s.notify()
	}
	respond(w, http.StatusOK, object{"ledger_rev": s.revision})
}

func (s *State) serveWatch(w http.ResponseWriter, r *http.Request, controller int) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	block, _ := strconv.Atoi(query.Get("block_ms"))
	deadline := time.After(time.Duration(block) * time.Millisecond)
	s.mu.Lock()
	if !s.admit(w, controller) {
		s.mu.Unlock()
		return
	}
	for expired := false; ; {
		events := []object{}
		if !s.outage && !s.refused[controller] {
			for _, change := range s.changes {
				if change.revision <= from || !strings.HasPrefix(change.key, query.Get("starts")) {
					continue
				}
				if change.raw == nil {
					events = append(events, object{"drop": change.key, "key_rev": change.revision})
				} else {
					events = append(events, object{"put": change.key, "v": change.raw, "key_rev": change.revision})
				}
			}
			if len(events) > 0 || expired {
				respond(w, http.StatusOK, object{"ledger_rev": s.revision, "events": events})
				s.mu.Unlock()
				return
			}
		}
		changed := s.changed
		s.mu.Unlock()
		wait := deadline
		var poll <-chan time.Time
		if expired { // the service is out: the watch stays open
			wait, poll = nil, time.After(50*time.Millisecond)
		}
		select {
		case <-changed:
		case <-poll:
		case <-wait:
			expired = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}
