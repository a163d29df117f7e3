package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// stateService stands in for the state service.
type stateService struct {
	sim           *Simulation
	revision      uint64
	records       map[string]*storedRecord
	leases        map[uint64]*storedLease
	lastLeaseID   uint64
	writeCredit   float64 // writes that the service takes now
	writeCreditAt time.Duration

	leaderSince   time.Duration // when the leadership was last claimed
	leaderChanges int           // claims of leadership so far
	shardClaims   int           // claims of shards so far

	changes        []recordChange
	watchPositions map[string]int // how many changes each controller's watch has delivered; -1: none yet

	outage      bool
	refused     map[string]int // how many faults make the service refuse a controller
	hungWatches map[string]int // how many faults make a controller's watch hang
	lateWrites  timedValue     // share of transactions without an answer that are carried out 2 to 12 s later
	lostReplies timedValue     // share of transactions that are carried out at once and not answered
	slowdown    timedValue     // factor on the latency
}

type storedRecord struct {
	raw      []byte
	revision uint64
	leaseID  uint64
}

type storedLease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

type recordChange struct {
	key      string
	raw      []byte // nil: dropped
	revision uint64
}

type recordWrite struct {
	key     string
	raw     []byte
	leaseID uint64
}

func newStateService(sim *Simulation) *stateService {
	store := &stateService{sim: sim, records: map[string]*storedRecord{}, leases: map[uint64]*storedLease{}, refused: map[string]int{}, hungWatches: map[string]int{}, watchPositions: map[string]int{}}
	sim.every(100*time.Millisecond, store.expireLeases)
	return store
}

func encodeRecordWrites(ws []core.Write) []recordWrite {
	var out []recordWrite
	for _, x := range ws {
		write := recordWrite{key: x.Key, leaseID: x.LeaseID}
		if x.Value != nil {
			raw, err := wire.Encode(x.Value)
			must(err)
			write.raw = raw
		}
		out = append(out, write)
	}
	return out
}

func (store *stateService) refuses(ctrl *controller) bool {
	return store.outage || store.refused[ctrl.label] > 0
}

// encodedJSONSize is a value's size in the form in which the limit is meant; it is not
// worked out for values that are far below it.
func encodedJSONSize(raw []byte, least int) int {
	if len(raw) <= least {
		return len(raw)
	}
	var v any
	must(wire.Decode(raw, &v))
	text, err := json.Marshal(v)
	must(err)
	return len(text)
}

func (store *stateService) commit(ctrl *controller, conditions []core.Condition, writes []recordWrite) (core.Outcome, uint64, []string) {
	if store.outage {
		return core.Refused, 0, nil
	}
	if len(writes) > store.sim.MaxTransactionOps || len(conditions) > 4*store.sim.MaxTransactionOps {
		store.sim.rules.violated("limits", "%s: transaction with %d writes and %d conditions", ctrl.label, len(writes), len(conditions))
	}
	if limit := store.sim.WriteRPS; limit > 0 {
		store.writeCredit = min(limit, store.writeCredit+limit*(store.sim.now-store.writeCreditAt).Seconds())
		store.writeCreditAt = store.sim.now
		if store.writeCredit < float64(len(writes)) {
			store.sim.meter.refusedCommits++
			return core.Refused, 0, nil
		}
		store.writeCredit -= float64(len(writes))
	}
	for _, write := range writes {
		if size := encodedJSONSize(write.raw, store.sim.MaxValueBytes/4); size > store.sim.MaxValueBytes {
			store.sim.rules.violated("limits", "%s: value of %s has %d bytes", ctrl.label, write.key, size)
		}
		if write.leaseID != 0 && store.leases[write.leaseID] == nil {
			return core.LeaseExpired, store.revision, nil
		}
	}
	var failed []string
	for _, c := range conditions {
		have := uint64(0)
		if record := store.records[c.Key]; record != nil {
			have = record.revision
		}
		if have != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		store.sim.leadership.recordConflict(writes)
		return core.Conflict, store.revision, failed
	}
	if len(writes) == 0 {
		return core.OK, store.revision, nil
	}
	store.revision++
	for _, write := range writes {
		store.apply(write, store.revision)
	}
	store.sim.quota.checkCommit(conditions, writes)
	store.sim.leadership.checkCommit(ctrl, conditions, writes)
	store.notifyWatches()
	return core.OK, store.revision, nil
}

func (store *stateService) apply(write recordWrite, rev uint64) {
	begins := write.key == wire.LeaderKey && write.raw != nil && store.sim.leadership.recordClaim(mustDecodeRecord(write.key, write.raw).(*wire.Leader), rev)
	if write.raw == nil {
		if store.records[write.key] == nil {
			return
		}
		delete(store.records, write.key)
	} else {
		store.records[write.key] = &storedRecord{raw: write.raw, revision: rev, leaseID: write.leaseID}
	}
	if begins {
		store.leaderChanges++
		store.leaderSince = store.sim.now
		store.sim.replays.deliverRetained()
	}
	if strings.HasPrefix(write.key, wire.ShardPrefix) && write.raw != nil {
		store.shardClaims++
	}
	store.changes = append(store.changes, recordChange{write.key, write.raw, rev})
}

// countOverflowKeys counts the overflow keys of records.
func (store *stateService) countOverflowKeys() int {
	k := 0
	for key := range store.records {
		if strings.HasPrefix(key, wire.OverflowPrefix) {
			k++
		}
	}
	return k
}

func (store *stateService) renewLease(id uint64, ttl time.Duration) (core.Outcome, uint64) {
	if store.outage {
		return core.Refused, 0
	}
	if id == 0 {
		store.lastLeaseID++
		store.leases[store.lastLeaseID] = &storedLease{ttl: ttl, expiresAt: store.sim.now + ttl}
		return core.OK, store.lastLeaseID
	}
	lease := store.leases[id]
	if lease == nil {
		return core.NotFound, 0
	}
	lease.expiresAt = store.sim.now + lease.ttl
	return core.OK, 0
}

func (store *stateService) expireLeases() {
	if store.outage {
		return
	}
	changed := false
	for id := uint64(1); id <= store.lastLeaseID; id++ {
		lease := store.leases[id]
		if lease == nil || store.sim.now < lease.expiresAt {
			continue
		}
		delete(store.leases, id)
		for _, k := range sortedKeys(store.records) {
			if store.records[k].leaseID == id {
				if !changed {
					store.revision++
					changed = true
				}
				store.apply(recordWrite{key: k}, store.revision)
			}
		}
	}
	if changed {
		store.notifyWatches()
	}
}

// mustDecodeRecord decodes the value of a key; the simulation stores only valid ones.
func mustDecodeRecord(key string, raw []byte) wire.Record {
	v, err := wire.DecodeRecord(key, raw)
	must(err)
	return v
}

// sendSnapshot gives a starting controller all there is, then lets its watch go on.
func (store *stateService) sendSnapshot(ctrl *controller, incarnation int) {
	store.watchPositions[ctrl.label] = -1
	store.sim.after(store.sim.network.latency(), func() {
		if ctrl.incarnation != incarnation || !ctrl.running {
			return
		}
		if store.refuses(ctrl) {
			store.sim.after(200*time.Millisecond, func() {
				if ctrl.incarnation == incarnation && ctrl.running {
					store.sendSnapshot(ctrl, incarnation)
				}
			})
			return
		}
		c := core.RecordsChanged{Reset: true, Revision: store.revision}
		for _, k := range sortedKeys(store.records) {
			record := store.records[k]
			c.Events = append(c.Events, core.Event{Key: k, Revision: record.revision, Value: mustDecodeRecord(k, record.raw)})
		}
		store.watchPositions[ctrl.label] = len(store.changes)
		ctrl.step(c)
	})
}

// notifyWatches sends each watch what it has not seen, in order.
func (store *stateService) notifyWatches() {
	for _, ctrl := range store.sim.controllers {
		incarnation := ctrl.incarnation
		store.sim.after(store.sim.network.latency()+time.Duration(store.sim.rng.IntN(40))*time.Millisecond, func() {
			at := store.watchPositions[ctrl.label]
			if ctrl.incarnation != incarnation || !ctrl.running || store.refuses(ctrl) || store.hungWatches[ctrl.label] > 0 || at < 0 || at >= len(store.changes) {
				return
			}
			c := core.RecordsChanged{Revision: store.changes[len(store.changes)-1].revision}
			for _, x := range store.changes[at:] {
				e := core.Event{Key: x.key, Revision: x.revision}
				if x.raw != nil {
					e.Value = mustDecodeRecord(x.key, x.raw)
				}
				c.Events = append(c.Events, e)
			}
			store.watchPositions[ctrl.label] = len(store.changes)
			ctrl.step(c)
		})
	}
}

// cloud stands in for the machine rental.
type cloud struct {
	sim           *Simulation
	provisioned   map[string][]string
	requests      map[string]wire.ProvisionRequest
	machines      map[string]*cloudMachine
	created       int
	outage        bool
	outOfCapacity bool
	machineType   wire.MachineType

	deprovisioned int // machines that controllers have returned

	slowBootUntil                  time.Duration // until when what is provisioned boots late or never
	slowBootFactor, neverBootShare float64
}

type cloudMachine struct {
	wire.CloudMachine
	createdAt  time.Duration
	terminated bool
}

func newCloud(sim *Simulation) *cloud {
	return &cloud{sim: sim, provisioned: map[string][]string{}, requests: map[string]wire.ProvisionRequest{}, machines: map[string]*cloudMachine{},
		machineType: wire.MachineType{Name: "g2", Cores: 16, GPUs: 2, MemoryGB: 64, ImageCacheGB: 60, FetchGBs: 0.5,
			PricePerHour: 6, SpotPricePerHour: 2, BootS: sim.BootTime.Seconds(), Zones: sim.Zones}}
}

// isStale tells whether a controller distributes with the cloud long after
// another has taken the lead: it would return machines that are in use.
func (watch *leadershipWatch) isStale(ctrl *controller) bool {
	record := watch.sim.store.records[wire.LeaderKey]
	return record != nil && mustDecodeRecord(wire.LeaderKey, record.raw).(*wire.Leader).Controller != ctrl.label && watch.sim.now-watch.sim.store.leaderSince > 6*time.Second
}

func (c *cloud) call(q core.CallCloud) core.CloudAnswered {
	r := core.CloudAnswered{ID: q.ID, Outcome: core.OK}
	switch {
	case q.ListTypes:
		r.MachineTypes = []wire.MachineType{c.machineType}
	case q.ListMachines:
		for _, name := range sortedKeys(c.machines) {
			machine := c.machines[name]
			if age := c.sim.now - machine.createdAt; !machine.terminated && age > 4*time.Second {
				row := machine.CloudMachine
				row.AgeS = age.Seconds()
				r.Machines = append(r.Machines, row)
			}
		}
	case q.Provision != nil:
		if got, known := c.provisioned[q.Provision.Name]; known {
			if c.requests[q.Provision.Name] != *q.Provision {
				c.sim.rules.violated("hire_reused", "%s for %+v and %+v", q.Provision.Name, c.requests[q.Provision.Name], *q.Provision)
			}
			r.Names = got
			break
		}
		r.Names = c.provision(q.Provision)
		if len(r.Names) == 0 {
			r.Outcome = core.NoCapacity
			break
		}
		c.provisioned[q.Provision.Name], c.requests[q.Provision.Name] = r.Names, *q.Provision
	case q.Deprovision != nil:
		for _, name := range q.Deprovision {
			c.deprovisioned++
			c.terminate(name)
		}
	}
	return r
}

// countBooting counts the machines that are rented and not up.
func (c *cloud) countBooting() int {
	k := 0
	for _, machine := range c.machines {
		if !machine.terminated && machine.Status == wire.MachineBooting {
			k++
		}
	}
	return k
}

func (c *cloud) provision(h *wire.ProvisionRequest) []string {
	have := 0
	for _, machine := range c.machines {
		if !machine.terminated && machine.Zone == h.Zone && machine.Spot == h.Spot {
			have++
		}
	}
	var out []string
	for range h.Count {
		if have >= c.sim.Capacity || c.outOfCapacity {
			break
		}
		have++
		name := fmt.Sprintf("vm-%06d", c.created)
		c.created++
		machine := &cloudMachine{CloudMachine: wire.CloudMachine{Name: name, Addr: name + ":1", MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Status: wire.MachineBooting}, createdAt: c.sim.now}
		c.machines[name] = machine
		out = append(out, name)
		boot := time.Duration(float64(c.sim.BootTime) * (0.6 + 0.9*c.sim.rng.Float64()))
		if c.sim.now < c.slowBootUntil {
			if c.sim.rng.Float64() < c.neverBootShare {
				continue // it stays booting, and is paid for, until it is returned
			}
			boot = time.Duration(float64(boot) * c.slowBootFactor)
		}
		c.sim.after(boot, func() {
			if !machine.terminated {
				machine.Status = wire.MachineRunning
				c.sim.fleet.boot(machine)
			}
		})
	}
	return out
}

func (c *cloud) terminate(name string) {
	if machine := c.machines[name]; machine != nil {
		machine.terminated = true
	}
	if worker := c.sim.fleet.workers[name]; worker != nil {
		worker.terminated = true
		worker.dropTasks()
	}
}
