package simulation

import (
	"strings"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// leaseCheckInterval is the interval at which expired leases are detected.
const leaseCheckInterval = 100 * time.Millisecond

// conditionsPerOp is the ratio of the limit on the conditions of a transaction to the limit
// on its writes.
const conditionsPerOp = 4

// maxTransactionBytes is the limit on the size of a transaction.
const maxTransactionBytes = 64 << 10

// stateService models the state service: records with revisions, conditional transactions,
// leases and watches.
type stateService struct {
	sim           *Simulation
	revision      uint64
	records       map[string]*storedRecord
	leases        map[uint64]*storedLease
	lastLeaseID   uint64
	writeCredit   float64       // writes that the service currently accepts; see Settings.WriteRPS
	writeCreditAt time.Duration // when writeCredit was last updated

	changes        []recordChange
	watchPositions map[string]int // number of changes delivered by each controller's watch, by label; see watchNotStarted

	leaderSince   time.Duration // when the current leader claimed the leadership
	leaderChanges int           // number of tenures so far; see leaderTenure
	shardClaims   int           // number of claims of shards so far

	outage        bool
	refusalFaults map[string]int // number of faults in effect that make the service refuse a controller, by label
	watchFaults   map[string]int // number of faults in effect that make a controller's watch hang, by label
	lateWrites    timedValue     // share of transactions executed 2 to 12 s late and not answered
	lostReplies   timedValue     // share of transactions executed without delay and not answered
	slowdown      timedValue     // factor by which the latency increases
}

// storedRecord is the stored value of a key.
type storedRecord struct {
	raw      []byte
	revision uint64 // revision of its last write
	leaseID  uint64 // ID of the lease whose expiry deletes the record; 0: none
}

// storedLease is a lease that has not expired.
type storedLease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// recordChange is a write that has been applied.
type recordChange struct {
	key      string
	raw      []byte // nil: deleted
	revision uint64
}

// recordWrite is a write of a transaction.
type recordWrite struct {
	key     string
	raw     []byte // nil: delete
	leaseID uint64 // ID of the lease whose expiry deletes the record; 0: none
}

// newStateService returns a state service without records.
func newStateService(sim *Simulation) *stateService {
	store := &stateService{
		sim: sim, records: map[string]*storedRecord{}, leases: map[uint64]*storedLease{},
		refusalFaults: map[string]int{}, watchFaults: map[string]int{}, watchPositions: map[string]int{},
	}
	sim.every(leaseCheckInterval, store.expireLeases)
	return store
}

// refuses reports whether the service currently refuses requests of a controller.
func (s *stateService) refuses(ctrl *controller) bool {
	return s.outage || s.refusalFaults[ctrl.label] > 0
}

// commit executes a transaction: it applies all writes if every condition's key has the
// expected revision, where 0 means that the key has no record. It returns the revision of
// the store and the keys of the conditions that failed.
func (s *stateService) commit(ctrl *controller, conditions []kv.Condition, writes []recordWrite) (outcome kv.Outcome, revision uint64, failed []string) {
	if s.outage {
		return kv.Refused, 0, nil
	}
	s.checkLimits(ctrl, conditions, writes)
	if !s.useWriteCredit(len(writes)) {
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
		s.sim.leadership.countFailedClaim(writes)
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

// checkLimits checks that a transaction is within the limits of the service.
func (s *stateService) checkLimits(ctrl *controller, conditions []kv.Condition, writes []recordWrite) {
	sim := s.sim
	if len(writes) > sim.MaxTransactionOps || len(conditions) > conditionsPerOp*sim.MaxTransactionOps {
		sim.rules.reportViolation("limits", "%s: transaction with %d writes and %d conditions", ctrl.label, len(writes), len(conditions))
	}
	total := 0
	for _, write := range writes {
		size := encodedJSONSize(write.raw, sim.MaxValueBytes/4)
		if size > sim.MaxValueBytes {
			sim.rules.reportViolation("limits", "%s: value of %s has %d bytes", ctrl.label, write.key, size)
		}
		total += size
	}
	if total > maxTransactionBytes {
		sim.rules.reportViolation("limits", "%s: the values of a transaction have %d bytes", ctrl.label, total)
	}
}

// useWriteCredit subtracts a number of writes from the write credit, which grows with time at
// the rate of the write limit. It reports false if the credit is too small.
func (s *stateService) useWriteCredit(writes int) bool {
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

// apply applies a write at the current revision.
func (s *stateService) apply(write recordWrite) {
	becomesLeader := write.key == wire.LeaderKey && write.raw != nil &&
		s.sim.leadership.recordClaim(mustDecodeRecord(write.key, write.raw).(*wire.Leader))
	if write.raw == nil {
		if s.records[write.key] == nil {
			return
		}
		delete(s.records, write.key)
	} else {
		s.records[write.key] = &storedRecord{raw: write.raw, revision: s.revision, leaseID: write.leaseID}
	}
	if becomesLeader {
		s.leaderChanges++
		s.leaderSince = s.sim.now
		s.sim.replays.deliverRetained()
	}
	if strings.HasPrefix(write.key, wire.ShardPrefix) && write.raw != nil {
		s.shardClaims++
	}
	s.changes = append(s.changes, recordChange{write.key, write.raw, s.revision})
}

// overwrite writes a key on behalf of the test, not of a controller.
func (s *stateService) overwrite(key string, raw []byte) {
	s.revision++
	write := recordWrite{key: key, raw: raw}
	s.apply(write)
	s.sim.quota.checkCommit(nil, []recordWrite{write})
	s.notifyWatches()
}

// renewLease renews a lease, or creates one if the id is 0 and returns its id.
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

// expireLeases deletes the leases that have expired, and the records attached to them.
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
