package simulation

import (
	"strings"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// leaseCheckInterval is how often expired leases are looked for.
const leaseCheckInterval = 100 * time.Millisecond

// conditionsPerOp is how many conditions a transaction may have for each write that it may
// have.
const conditionsPerOp = 4

// stateService is a model of the state service: records with revisions, conditional
// transactions, leases and watches.
type stateService struct {
	sim           *Simulation
	revision      uint64
	records       map[string]*storedRecord
	leases        map[uint64]*storedLease
	lastLeaseID   uint64
	writeCredit   float64 // writes that the service takes at once; see Settings.WriteRPS
	writeCreditAt time.Duration

	changes        []recordChange
	watchPositions map[string]int // how many changes each controller's watch has delivered; see watchNotStarted

	leaderSince   time.Duration // when the present leader claimed the leadership
	leaderChanges int           // claims of the leadership so far
	shardClaims   int           // claims of shards so far

	outage      bool
	refused     map[string]int // how many faults make the service refuse a controller
	hungWatches map[string]int // how many faults make a controller's watch hang
	lateWrites  timedValue     // share of transactions carried out 2 to 12 s late and not answered
	lostReplies timedValue     // share of transactions carried out at once and not answered
	slowdown    timedValue     // factor on the latency
}

// storedRecord is the value of a key.
type storedRecord struct {
	raw      []byte
	revision uint64 // of its last write
	leaseID  uint64 // of the lease that it is deleted with; 0: none
}

// storedLease is a lease that has not expired.
type storedLease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// recordChange is a write that was carried out.
type recordChange struct {
	key      string
	raw      []byte // nil: deleted
	revision uint64
}

// recordWrite is a write of a transaction.
type recordWrite struct {
	key     string
	raw     []byte // nil: delete
	leaseID uint64 // that the record is tied to; 0: none
}

// newStateService returns a state service without records.
func newStateService(sim *Simulation) *stateService {
	store := &stateService{
		sim: sim, records: map[string]*storedRecord{}, leases: map[uint64]*storedLease{},
		refused: map[string]int{}, hungWatches: map[string]int{}, watchPositions: map[string]int{},
	}
	sim.every(leaseCheckInterval, store.expireLeases)
	return store
}

// refuses reports whether the service refuses a controller now.
func (s *stateService) refuses(ctrl *controller) bool {
	return s.outage || s.refused[ctrl.label] > 0
}

// commit carries out a transaction: all writes, if every record has the revision that a
// condition names, 0 for none. It returns the store's revision, and the keys of the
// conditions that failed.
func (s *stateService) commit(ctrl *controller, conditions []kv.Condition, writes []recordWrite) (outcome kv.Outcome, revision uint64, failed []string) {
	if s.outage {
		return kv.Refused, 0, nil
	}
	s.checkLimits(ctrl, conditions, writes)
	if !s.takeCredit(len(writes)) {
		s.sim.meter.refusedCommits++
		return kv.Refused, 0, nil
	}
	for _, write := range writes {
		if write.leaseID != 0 && s.leases[write.leaseID] == nil {
			return kv.LeaseExpired, s.revision, nil
		}
	}
	for _, condition := range conditions {
		if s.revisionOf(condition.Key) != condition.Revision {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		s.sim.leadership.recordConflict(writes)
		return kv.Conflict, s.revision, failed
	}
	if len(writes) == 0 {
		return kv.OK, s.revision, nil
	}
	s.revision++
	for _, write := range writes {
		s.apply(write)
	}
	s.sim.quota.checkCommit(conditions, writes)
	s.sim.leadership.checkCommit(ctrl, conditions, writes)
	s.notifyWatches()
	return kv.OK, s.revision, nil
}

// checkLimits checks that a transaction keeps the service's limits.
func (s *stateService) checkLimits(ctrl *controller, conditions []kv.Condition, writes []recordWrite) {
	sim := s.sim
	if len(writes) > sim.MaxTransactionOps || len(conditions) > conditionsPerOp*sim.MaxTransactionOps {
		sim.rules.violated("limits", "%s: transaction with %d writes and %d conditions", ctrl.label, len(writes), len(conditions))
	}
	for _, write := range writes {
		if size := encodedJSONSize(write.raw, sim.MaxValueBytes/4); size > sim.MaxValueBytes {
			sim.rules.violated("limits", "%s: value of %s has %d bytes", ctrl.label, write.key, size)
		}
	}
}

// takeCredit uses up a number of the writes that the service takes now, or reports false if
// it takes fewer.
func (s *stateService) takeCredit(writes int) bool {
	limit := s.sim.WriteRPS
	if limit <= 0 {
		return true
	}
	s.writeCredit = min(limit, s.writeCredit+limit*(s.sim.now-s.writeCreditAt).Seconds())
	s.writeCreditAt = s.sim.now
	if s.writeCredit < float64(writes) {
		return false
	}
	s.writeCredit -= float64(writes)
	return true
}

// apply carries out a write at the present revision.
func (s *stateService) apply(write recordWrite) {
	begins := write.key == wire.LeaderKey && write.raw != nil &&
		s.sim.leadership.recordClaim(mustDecodeRecord(write.key, write.raw).(*wire.Leader))
	if write.raw == nil {
		if s.records[write.key] == nil {
			return
		}
		delete(s.records, write.key)
	} else {
		s.records[write.key] = &storedRecord{raw: write.raw, revision: s.revision, leaseID: write.leaseID}
	}
	if begins {
		s.leaderChanges++
		s.leaderSince = s.sim.now
		s.sim.replays.deliverRetained()
	}
	if strings.HasPrefix(write.key, wire.ShardPrefix) && write.raw != nil {
		s.shardClaims++
	}
	s.changes = append(s.changes, recordChange{write.key, write.raw, s.revision})
}

// overwrite writes a key from outside the controllers.
func (s *stateService) overwrite(key string, raw []byte) {
	s.revision++
	write := recordWrite{key: key, raw: raw}
	s.apply(write)
	s.sim.quota.checkCommit(nil, []recordWrite{write})
	s.notifyWatches()
}

// renewLease renews a lease, or makes one if the id is 0, and returns the id of a new one.
func (s *stateService) renewLease(id uint64, ttl time.Duration) (kv.Outcome, uint64) {
	if s.outage {
		return kv.Refused, 0
	}
	if id == 0 {
		s.lastLeaseID++
		s.leases[s.lastLeaseID] = &storedLease{ttl: ttl, expiresAt: s.sim.now + ttl}
		return kv.OK, s.lastLeaseID
	}
	lease := s.leases[id]
	if lease == nil {
		return kv.NotFound, 0
	}
	lease.expiresAt = s.sim.now + lease.ttl
	return kv.OK, 0
}

// expireLeases deletes the records of the leases that have expired.
func (s *stateService) expireLeases() {
	if s.outage {
		return
	}
	changed := false
	for id := uint64(1); id <= s.lastLeaseID; id++ {
		lease := s.leases[id]
		if lease == nil || s.sim.now < lease.expiresAt {
			continue
		}
		delete(s.leases, id)
		for _, key := range sortedKeys(s.records) {
			if s.records[key].leaseID != id {
				continue
			}
			if !changed {
				s.revision++
				changed = true
			}
			s.apply(recordWrite{key: key})
		}
	}
	if changed {
		s.notifyWatches()
	}
}
