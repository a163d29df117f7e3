//go:build review

package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// MachineType is a type of machines that the cloud offers.
type MachineType struct {
	Name                         string
	Cores, Cards, MemoryGB       float64
	LocalGB, PullGBPerS          float64
	Hourly, SpotPrice, BootS     float64
	Halls                        []string
	CapacityPerHall, SpotPerHall int
	ActualBoot                   time.Duration // until a machine is up
}

// Cloud is a stand-in for the cloud.
type Cloud struct {
	machineType MachineType
	lag         time.Duration
	// Boot starts a machine's worker; it returns the worker's address and a function that ends
	// the machine.
	Boot func(name, hall string, spot bool) (addr string, stop func())

	// Decide is asked about every rental and return; it may be nil.
	Decide func() CloudAction

	mu       sync.Mutex
	hires    map[string][]string
	machines map[string]*cloudMachine
	created  int
	requests bucket
	listener net.Listener
	record   *Record
}

// CloudAction says what the cloud does with a request.
type CloudAction struct {
	Refuse     bool          // answer 503 trouble
	LoseAnswer bool          // carry it out and never answer
	Late       time.Duration // never answer, carry it out after this time
}

// lostWriter discards an answer.
type lostWriter struct{ header http.Header }

func (l lostWriter) Header() http.Header           { return l.header }
func (l lostWriter) Write(raw []byte) (int, error) { return len(raw), nil }
func (l lostWriter) WriteHeader(int)               {}

// decided applies Decide to a request.
func (c *Cloud) decided(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c.Decide == nil {
			next(w, r)
			return
		}
		action := c.Decide()
		if action.Refuse {
			respond(w, http.StatusServiceUnavailable, trouble)
			return
		}
		if !action.LoseAnswer && action.Late == 0 {
			next(w, r)
			return
		}
		raw, _ := io.ReadAll(r.Body) // an incomplete body is malformed
		copied := r.Clone(context.Background())
		copied.Body = io.NopCloser(bytes.NewReader(raw))
		time.AfterFunc(action.Late, func() { next(lostWriter{http.Header{}}, copied) })
		<-r.Context().Done()
	}
}

type cloudMachine struct {
	name, hall string
	spot       bool
	addr       string
	hiredAt    time.Time
	up         bool
	stop       func()
	goneAt     time.Time // zero while it exists
}

// NewCloud starts a cloud with one machine type.
func NewCloud(machineType MachineType, rps float64, lag time.Duration, record *Record) (*Cloud, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	c := &Cloud{
		machineType: machineType, lag: lag, hires: map[string][]string{}, machines: map[string]*cloudMachine{},
		requests: bucket{rate: rps * 2}, listener: listener, record: record,
	}
	go func() { _ = http.Serve(listener, c.handler()) }() // until Close
	return c, listener.Addr().String(), nil
}

// Close stops the service and all machines.
func (c *Cloud) Close() {
	c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.up && m.goneAt.IsZero() {
			m.stop()
		}
	}
}

func (c *Cloud) handler() http.Handler {
	mux := http.NewServeMux()
	limited := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			c.mu.Lock()
			allowed := c.requests.take(1)
			c.mu.Unlock()
			if !allowed {
				respond(w, http.StatusTooManyRequests, Map{"error": "too many requests"})
				return
			}
			next(w, r)
		}
	}
	mux.HandleFunc("GET /flavors", limited(func(w http.ResponseWriter, _ *http.Request) {
		t := c.machineType
		respond(w, http.StatusOK, Map{"rigs": []any{Map{
			"sku": t.Name, "cores": t.Cores, "cards": t.Cards, "memory_gb": t.MemoryGB, "local_gb": t.LocalGB, "pull_gb_per_s": t.PullGBPerS,
			"hourly": t.Hourly, "spot_price": t.SpotPrice, "boot_s": t.BootS, "halls": t.Halls,
		}}})
	}))
	mux.HandleFunc("POST /hosts", limited(c.decided(c.hire)))
	mux.HandleFunc("POST /hosts/return", limited(c.decided(c.takeBack)))
	mux.HandleFunc("GET /hosts", limited(c.list))
	return mux
}

func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	body, ok := readMap(r)
	if !ok {
		respond(w, http.StatusBadRequest, Map{"error": "malformed"})
		return
	}
	name, hall := text(body["hire"]), text(body["hall"])
	spot, _ := body["loaner"].(bool)
	count := int(number(body["count"]))
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, repeated := c.hires[name]; repeated {
		respond(w, http.StatusOK, Map{"hosts": names})
		return
	}
	free := c.machineType.CapacityPerHall
	if spot {
		free = c.machineType.SpotPerHall
	}
	for _, m := range c.machines {
		if m.goneAt.IsZero() && m.hall == hall && m.spot == spot {
			free--
		}
	}
	if free <= 0 {
		respond(w, http.StatusServiceUnavailable, Map{"error": "no capacity"})
		return
	}
	names := []string{}
	for range min(count, free, 50) {
		c.created++
		m := &cloudMachine{name: fmt.Sprintf("vm-%06d", c.created), hall: hall, spot: spot, hiredAt: time.Now()}
		c.machines[m.name] = m
		names = append(names, m.name)
		time.AfterFunc(c.machineType.ActualBoot, func() { c.bootUp(m) })
	}
	c.hires[name] = names
	c.record.Logf("cloud: %s rents %v in %s, spot %v", name, names, hall, spot)
	respond(w, http.StatusOK, Map{"hosts": names})
}

func (c *Cloud) bootUp(m *cloudMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.goneAt.IsZero() && c.Boot != nil {
		m.addr, m.stop = c.Boot(m.name, m.hall, m.spot)
		m.up = true
	}
}

func (c *Cloud) takeBack(w http.ResponseWriter, r *http.Request) {
	body, _ := readMap(r)
	names, _ := body["hosts"].([]any)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range names {
		if m := c.machines[text(x)]; m != nil && m.goneAt.IsZero() {
			if m.up {
				m.stop()
			}
			m.goneAt = time.Now()
			c.record.Logf("cloud: %s is returned", m.name)
		}
	}
	respond(w, http.StatusOK, Map{})
}

// list describes the machines as they were a lag ago.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.lag)
	var names []string
	for name, m := range c.machines {
		if name > query.Get("from") && m.hiredAt.Before(at) && (m.goneAt.IsZero() || m.goneAt.After(at)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > limit
	hosts := []any{}
	for _, name := range names[:min(len(names), limit)] {
		m, status := c.machines[name], "booting"
		if at.Sub(m.hiredAt) > c.machineType.ActualBoot {
			status = "running"
		}
		hosts = append(hosts, Map{"ref": m.name, "addr": m.addr, "rig": c.machineType.Name, "hall": m.hall, "loaner": m.spot,
			"status": status, "age_s": at.Sub(m.hiredAt).Seconds()})
	}
	respond(w, http.StatusOK, Map{"hosts": hosts, "has_next": more})
}
