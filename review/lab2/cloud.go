//go:build review

package lab2

import (
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Flavor is a machine type, as GET /flavors lists it.
type Flavor struct {
	SKU       string   `msgpack:"sku"`
	Cores     float64  `msgpack:"cores"`
	Cards     float64  `msgpack:"cards"`
	MemoryGB  float64  `msgpack:"memory_gb"`
	LocalGB   float64  `msgpack:"local_gb"`
	PullGBs   float64  `msgpack:"pull_gb_per_s"`
	Hourly    float64  `msgpack:"hourly"`
	SpotPrice float64  `msgpack:"spot_price"`
	BootS     float64  `msgpack:"boot_s"`
	Halls     []string `msgpack:"halls"`
}

// Cloud is the stand-in of the cloud.
type Cloud struct {
	rec     *Recorder
	rps     float64
	listLag time.Duration
	start   func(*Machine) // called when a machine is up

	mu       sync.Mutex
	flavors  []Flavor
	capacity map[string]int // machines per flavor, zone and kind, as in poolKey; missing: none
	machines map[string]*Machine
	hires    map[string][]string
	created  int
	requests bucket
	listener net.Listener

	// BootTime returns how long a new machine takes to boot; negative: it never comes up.
	BootTime func(m *Machine) time.Duration
	// ReturnDelay is how long a request that returns machines takes; before it OnReturn is called.
	ReturnDelay time.Duration
	OnReturn    func(names []string)
}

// Machine is a rented machine.
type Machine struct {
	Name, SKU, Hall string
	Loaner          bool
	Flavor          Flavor
	Addr            string
	createdAt       time.Time
	upAt            time.Time // zero: it boots
	goneAt          time.Time // zero: it exists
	Worker          *Worker
}

func poolKey(sku, hall string, loaner bool) string { return fmt.Sprintf("%s/%s/%v", sku, hall, loaner) }

// NewCloud starts the cloud.
func NewCloud(flavors []Flavor, rps float64, listLag time.Duration, rec *Recorder, start func(*Machine)) (*Cloud, error) {
	c := &Cloud{rec: rec, rps: rps, listLag: listLag, start: start, flavors: flavors, capacity: map[string]int{}, machines: map[string]*Machine{}, hires: map[string][]string{}}
	c.BootTime = func(m *Machine) time.Duration { return time.Duration(m.Flavor.BootS * float64(time.Second)) }
	var err error
	if c.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go http.Serve(c.listener, c.handler())
	return c, nil
}

// Address returns the cloud's address.
func (c *Cloud) Address() string { return c.listener.Addr().String() }

// SetCapacity sets how many machines of a pool exist at the most.
func (c *Cloud) SetCapacity(sku, hall string, loaner bool, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity[poolKey(sku, hall, loaner)] = count
}

// BootNow brings up a machine that boots, and reports whether it did.
func (c *Cloud) BootNow(name string) bool {
	c.mu.Lock()
	m := c.machines[name]
	if m == nil || !m.upAt.IsZero() || !m.goneAt.IsZero() {
		c.mu.Unlock()
		return false
	}
	m.upAt = time.Now()
	c.mu.Unlock()
	c.rec.Log("machine_up", "machine", m.Name, "rig", m.SKU, "hall", m.Hall)
	c.start(m)
	return true
}

// Machines returns all machines that were created, by name.
func (c *Cloud) Machines() []*Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*Machine
	for _, m := range c.machines {
		all = append(all, m)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Name < all[k].Name })
	return all
}

// Gone reports whether a machine has been returned.
func (c *Cloud) Gone(m *Machine) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !m.goneAt.IsZero()
}

func (c *Cloud) handler() http.Handler {
	mux := http.NewServeMux()
	limited := func(run http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			c.mu.Lock()
			ok := c.requests.take(1, c.rps, 2*c.rps)
			c.mu.Unlock()
			if !ok {
				respond(w, http.StatusTooManyRequests, object{"error": "too many requests"})
				return
			}
			run(w, r)
		}
	}
	mux.HandleFunc("GET /flavors", limited(func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		respond(w, http.StatusOK, object{"rigs": c.flavors})
	}))
	mux.HandleFunc("POST /hosts", limited(c.serveHire))
	mux.HandleFunc("POST /hosts/return", limited(c.serveReturn))
	mux.HandleFunc("GET /hosts", limited(c.serveList))
	return mux
}

func (c *Cloud) serveHire(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hire   string `msgpack:"hire"`
		Rig    string `msgpack:"rig"`
		Hall   string `msgpack:"hall"`
		Loaner bool   `msgpack:"loaner"`
		Count  int    `msgpack:"count"`
	}
	if !readBody(w, r, &body) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, known := c.hires[body.Hire]; known {
		respond(w, http.StatusOK, object{"hosts": names})
		return
	}
	var flavor *Flavor
	for i := range c.flavors {
		if c.flavors[i].SKU == body.Rig {
			flavor = &c.flavors[i]
		}
	}
	if flavor == nil || body.Count < 1 || body.Count > 50 || body.Hire == "" {
		respond(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	free := c.capacity[poolKey(body.Rig, body.Hall, body.Loaner)]
	for _, m := range c.machines {
		if m.goneAt.IsZero() && m.SKU == body.Rig && m.Hall == body.Hall && m.Loaner == body.Loaner {
			free--
		}
	}
	if free <= 0 {
		respond(w, http.StatusServiceUnavailable, object{"error": "no capacity"})
		return
	}
	names := []string{}
	for range min(free, body.Count) {
		m := &Machine{Name: fmt.Sprintf("vm-%06d", c.created), SKU: body.Rig, Hall: body.Hall, Loaner: body.Loaner, Flavor: *flavor, createdAt: time.Now()}
		c.created++
		c.machines[m.Name] = m
		names = append(names, m.Name)
		if boot := c.BootTime(m); boot >= 0 {
			time.AfterFunc(boot, func() { c.BootNow(m.Name) })
		}
	}
	c.hires[body.Hire] = names
	c.rec.Log("hired", "hire", body.Hire, "rig", body.Rig, "hall", body.Hall, "loaner", body.Loaner, "hosts", names)
	respond(w, http.StatusOK, object{"hosts": names})
}

func (c *Cloud) serveReturn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []string `msgpack:"hosts"`
	}
	if !readBody(w, r, &body) {
		return
	}
	c.rec.Log("return_asked", "hosts", body.Hosts)
	if c.OnReturn != nil {
		c.OnReturn(body.Hosts)
	}
	time.Sleep(c.ReturnDelay)
	c.mu.Lock()
	var workers []*Worker
	for _, name := range body.Hosts {
		if m := c.machines[name]; m != nil && m.goneAt.IsZero() {
			m.goneAt = time.Now()
			if m.Worker != nil {
				workers = append(workers, m.Worker)
			}
		}
	}
	c.mu.Unlock()
	for _, worker := range workers {
		worker.Terminate()
	}
	c.rec.Log("returned", "hosts", body.Hosts)
	respond(w, http.StatusOK, object{})
}

func (c *Cloud) serveList(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.listLag)
	var names []string
	for name, m := range c.machines {
		if name > r.URL.Query().Get("from") && m.createdAt.Before(at) && (m.goneAt.IsZero() || m.goneAt.After(at)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	rows, more := []object{}, len(names) > limit
	for _, name := range names[:min(limit, len(names))] {
		m := c.machines[name]
		status := "booting"
		if !m.upAt.IsZero() && m.upAt.Before(at) {
			status = "running"
		}
		rows = append(rows, object{"ref": m.Name, "addr": m.Addr, "rig": m.SKU, "hall": m.Hall, "loaner": m.Loaner, "status": status, "age_s": at.Sub(m.createdAt).Seconds()})
	}
	respond(w, http.StatusOK, object{"hosts": rows, "has_next": more})
}
