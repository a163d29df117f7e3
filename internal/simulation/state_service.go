package simulation

import (
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

func (store *stateService) refuses(ctrl *controller) bool {
	return store.outage || store.refused[ctrl.label] > 0
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

// overwrite writes a key from outside the controllers.
func (store *stateService) overwrite(key string, raw []byte) {
	store.revision++
	write := recordWrite{key: key, raw: raw}
	store.apply(write, store.revision)
	store.sim.quota.checkCommit(nil, []recordWrite{write})
	store.notifyWatches()
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
