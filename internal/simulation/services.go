package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// store stands in for the state service.
type store struct {
	w       *World
	rev     uint64
	keys    map[string]*entry
	leases  map[uint64]*leaseSim
	next    uint64
	puts    float64 // left of what the service takes now
	putsAt  time.Duration
	outage  bool
	ledFrom time.Duration // when the leadership was last claimed
	leaders int           // claims of leadership so far
	claims  int           // claims of shards so far
	refuse  map[string]int
	hung    map[string]int // controllers whose watch hangs
	log     []change
	at      map[string]int // how far each controller's watch has come
}

type entry struct {
	raw   []byte
	rev   uint64
	lease uint64
}

type leaseSim struct {
	ttl  time.Duration
	ends time.Duration
}

type change struct {
	key string
	raw []byte // nil: dropped
	rev uint64
}

type put struct {
	key   string
	raw   []byte
	lease uint64
}

func newStore(w *World) *store {
	s := &store{w: w, keys: map[string]*entry{}, leases: map[uint64]*leaseSim{}, refuse: map[string]int{}, hung: map[string]int{}, at: map[string]int{}}
	w.every(100*time.Millisecond, s.expire)
	return s
}

func encodeWrites(ws []core.Write) []put {
	var out []put
	for _, x := range ws {
		p := put{key: x.Key, lease: x.LeaseID}
		if x.Value != nil {
			raw, err := wire.Encode(x.Value)
			must(err)
			p.raw = raw
		}
		out = append(out, p)
	}
	return out
}

func (s *store) refuses(n *node) bool { return s.outage || s.refuse[n.label] > 0 }

// jsonSize is a value's size in the form in which the limit is meant; it is not
// worked out for values that are far below it.
func jsonSize(raw []byte, least int) int {
	if len(raw) <= least {
		return len(raw)
	}
	var v any
	must(wire.Decode(raw, &v))
	text, err := json.Marshal(v)
	must(err)
	return len(text)
}

func (s *store) commit(n *node, conds []core.Condition, puts []put) (core.Outcome, uint64, []string) {
	if s.outage {
		return core.Refused, 0, nil
	}
	if len(puts) > s.w.TxnOps || len(conds) > 4*s.w.TxnOps {
		s.w.broke("limits", "%s: transaction with %d writes and %d conditions", n.label, len(puts), len(conds))
	}
	if limit := s.w.WriteRPS; limit > 0 {
		s.puts = min(limit, s.puts+limit*(s.w.now-s.putsAt).Seconds())
		s.putsAt = s.w.now
		if s.puts < float64(len(puts)) {
			s.w.meter.refused++
			return core.Refused, 0, nil
		}
		s.puts -= float64(len(puts))
	}
	for _, p := range puts {
		if size := jsonSize(p.raw, s.w.ValueBytes/4); size > s.w.ValueBytes {
			s.w.broke("limits", "%s: value of %s has %d bytes", n.label, p.key, size)
		}
		if p.lease != 0 && s.leases[p.lease] == nil {
			return core.LeaseExpired, s.rev, nil
		}
	}
	var failed []string
	for _, c := range conds {
		have := uint64(0)
		if e := s.keys[c.Key]; e != nil {
			have = e.rev
		}
		if have != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		s.w.takeovers.lost(puts)
		return core.Conflict, s.rev, failed
	}
	if len(puts) == 0 {
		return core.OK, s.rev, nil
	}
	s.rev++
	for _, p := range puts {
		s.apply(p, s.rev)
	}
	s.w.accounting.committed(conds, puts)
	s.w.takeovers.committed(n, conds, puts)
	s.notify()
	return core.OK, s.rev, nil
}

func (s *store) apply(p put, rev uint64) {
	begins := p.key == wire.LeaderKey && p.raw != nil && s.w.takeovers.claims(decode(p.key, p.raw).(*wire.Leader), rev)
	if p.raw == nil {
		if s.keys[p.key] == nil {
			return
		}
		delete(s.keys, p.key)
	} else {
		s.keys[p.key] = &entry{raw: p.raw, rev: rev, lease: p.lease}
	}
	if begins {
		s.leaders++
		s.ledFrom = s.w.now
		s.w.deliverKept()
	}
	if strings.HasPrefix(p.key, wire.ShardPrefix) && p.raw != nil {
		s.claims++
	}
	s.log = append(s.log, change{p.key, p.raw, rev})
}

// moreKeys counts the overflow keys of records.
func (s *store) moreKeys() int {
	k := 0
	for key := range s.keys {
		if strings.HasPrefix(key, wire.OverflowPrefix) {
			k++
		}
	}
	return k
}

func (s *store) lease(id uint64, ttl time.Duration) (core.Outcome, uint64) {
	if s.outage {
		return core.Refused, 0
	}
	if id == 0 {
		s.next++
		s.leases[s.next] = &leaseSim{ttl: ttl, ends: s.w.now + ttl}
		return core.OK, s.next
	}
	l := s.leases[id]
	if l == nil {
		return core.NotFound, 0
	}
	l.ends = s.w.now + l.ttl
	return core.OK, 0
}

func (s *store) expire() {
	if s.outage {
		return
	}
	changed := false
	for id := uint64(1); id <= s.next; id++ {
		l := s.leases[id]
		if l == nil || s.w.now < l.ends {
			continue
		}
		delete(s.leases, id)
		for _, k := range sortedKeys(s.keys) {
			if s.keys[k].lease == id {
				if !changed {
					s.rev++
					changed = true
				}
				s.apply(put{key: k}, s.rev)
			}
		}
	}
	if changed {
		s.notify()
	}
}

// Outage stops the service for a while; every lease has its full time after.
func (w *World) Outage(d time.Duration) {
	w.troubled(d)
	s := w.store
	s.outage = true
	w.after(d, func() {
		s.outage = false
		for _, l := range s.leases {
			l.ends = w.now + l.ttl
		}
		s.notify()
	})
}

// Refuse makes the service refuse one controller for a while.
func (w *World) Refuse(ix int, d time.Duration) {
	w.troubled(d)
	l := w.nodes[ix].label
	w.store.refuse[l]++
	w.after(d, func() { w.store.refuse[l]--; w.store.notify() })
}

// HangWatch makes the watch of one controller hang for a while.
func (w *World) HangWatch(ix int, d time.Duration) {
	w.troubled(d)
	l := w.nodes[ix].label
	w.store.hung[l]++
	w.after(d, func() { w.store.hung[l]--; w.store.notify() })
}

func decode(key string, raw []byte) wire.Record {
	v, err := wire.DecodeRecord(key, raw)
	must(err)
	return v
}

// list gives a starting controller all there is, then lets its watch go on.
func (s *store) list(n *node, life int) {
	s.at[n.label] = -1
	s.w.after(s.w.latency(), func() {
		if n.life != life || !n.up {
			return
		}
		if s.refuses(n) {
			s.w.after(200*time.Millisecond, func() {
				if n.life == life && n.up {
					s.list(n, life)
				}
			})
			return
		}
		c := core.RecordsChanged{Reset: true, Revision: s.rev}
		for _, k := range sortedKeys(s.keys) {
			e := s.keys[k]
			c.Events = append(c.Events, core.Event{Key: k, Revision: e.rev, Value: decode(k, e.raw)})
		}
		s.at[n.label] = len(s.log)
		n.step(c)
	})
}

// notify sends each watch what it has not seen, in order.
func (s *store) notify() {
	for _, n := range s.w.nodes {
		life := n.life
		s.w.after(s.w.latency()+time.Duration(s.w.rng.IntN(40))*time.Millisecond, func() {
			at := s.at[n.label]
			if n.life != life || !n.up || s.refuses(n) || s.hung[n.label] > 0 || at < 0 || at >= len(s.log) {
				return
			}
			c := core.RecordsChanged{Revision: s.log[len(s.log)-1].rev}
			for _, x := range s.log[at:] {
				e := core.Event{Key: x.key, Revision: x.rev}
				if x.raw != nil {
					e.Value = decode(x.key, x.raw)
				}
				c.Events = append(c.Events, e)
			}
			s.at[n.label] = len(s.log)
			n.step(c)
		})
	}
}

// cloud stands in for the machine rental.
type cloud struct {
	w      *World
	hires  map[string][]string
	asked  map[string]wire.ProvisionRequest
	hosts  map[string]*machine
	count  int
	outage bool
	short  bool
	flavor wire.MachineType

	returns int // machines that controllers have returned

	lateTo      time.Duration // until when what is provisioned boots late or never
	late, never float64
}

type machine struct {
	wire.CloudMachine
	born time.Duration
	dead bool
}

func newCloud(w *World) *cloud {
	return &cloud{w: w, hires: map[string][]string{}, asked: map[string]wire.ProvisionRequest{}, hosts: map[string]*machine{},
		flavor: wire.MachineType{Name: "g2", Cores: 16, GPUs: 2, MemoryGB: 64, ImageCacheGB: 60, FetchGBs: 0.5,
			PricePerHour: 6, SpotPricePerHour: 2, BootS: w.Boot.Seconds(), Zones: w.Zones}}
}

// staleLeader tells whether a controller distributes with the cloud long after
// another has taken the lead: it would return machines that are in use.
func (w *World) staleLeader(n *node) bool {
	k := w.store.keys[wire.LeaderKey]
	return k != nil && decode(wire.LeaderKey, k.raw).(*wire.Leader).Controller != n.label && w.now-w.store.ledFrom > 6*time.Second
}

func (c *cloud) call(q core.CallCloud) core.CloudAnswered {
	r := core.CloudAnswered{ID: q.ID, Outcome: core.OK}
	switch {
	case q.ListTypes:
		r.MachineTypes = []wire.MachineType{c.flavor}
	case q.ListMachines:
		for _, name := range sortedKeys(c.hosts) {
			m := c.hosts[name]
			if age := c.w.now - m.born; !m.dead && age > 4*time.Second {
				row := m.CloudMachine
				row.AgeS = age.Seconds()
				r.Machines = append(r.Machines, row)
			}
		}
	case q.Provision != nil:
		if got, known := c.hires[q.Provision.Name]; known {
			if c.asked[q.Provision.Name] != *q.Provision {
				c.w.broke("hire_reused", "%s for %+v and %+v", q.Provision.Name, c.asked[q.Provision.Name], *q.Provision)
			}
			r.Names = got
			break
		}
		r.Names = c.hire(q.Provision)
		if len(r.Names) == 0 {
			r.Outcome = core.NoCapacity
			break
		}
		c.hires[q.Provision.Name], c.asked[q.Provision.Name] = r.Names, *q.Provision
	case q.Deprovision != nil:
		for _, name := range q.Deprovision {
			c.returns++
			c.kill(name)
		}
	}
	return r
}

// booting counts the machines that are rented and not up.
func (c *cloud) booting() int {
	k := 0
	for _, m := range c.hosts {
		if !m.dead && m.Status == wire.MachineBooting {
			k++
		}
	}
	return k
}

func (c *cloud) hire(h *wire.ProvisionRequest) []string {
	have := 0
	for _, m := range c.hosts {
		if !m.dead && m.Zone == h.Zone && m.Spot == h.Spot {
			have++
		}
	}
	var out []string
	for range h.Count {
		if have >= c.w.Capacity || c.short {
			break
		}
		have++
		name := fmt.Sprintf("vm-%06d", c.count)
		c.count++
		m := &machine{CloudMachine: wire.CloudMachine{Name: name, Addr: name + ":1", MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Status: wire.MachineBooting}, born: c.w.now}
		c.hosts[name] = m
		out = append(out, name)
		boot := time.Duration(float64(c.w.Boot) * (0.6 + 0.9*c.w.rng.Float64()))
		if c.w.now < c.lateTo {
			if c.w.rng.Float64() < c.never {
				continue // it stays booting, and is paid for, until it is returned
			}
			boot = time.Duration(float64(boot) * c.late)
		}
		c.w.after(boot, func() {
			if !m.dead {
				m.Status = wire.MachineRunning
				c.w.bootWorker(m)
			}
		})
	}
	return out
}

func (c *cloud) kill(name string) {
	if m := c.hosts[name]; m != nil {
		m.dead = true
	}
	if k := c.w.workers[name]; k != nil {
		k.off = true
		k.forget()
	}
}
