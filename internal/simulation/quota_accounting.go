package simulation

import (
	"slices"
	"strings"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// quotaTolerance is the rounding error that is tolerated in sums of resources.
const quotaTolerance = 1e-6

// quotaAccounting computes what each team is charged in every revision of the records, and
// checks that no commit raises a team's charge above the limit of that revision. It reads
// the stored bytes only, not the state of any controller.
type quotaAccounting struct {
	sim           *Simulation
	jobs          map[string]jobCharge
	teams         map[string]*teamCharge
	highestLimits map[string]wire.Resources // the highest limit that each team has had so far
	admissions    int                       // tasks that shard owners have admitted
	createdAt     map[string]time.Duration  // when each job's record was created
	placedAt      map[string]time.Duration  // when a task of each job was first assigned a machine
}

// jobCharge is what a job's active tasks are charged to its team.
type jobCharge struct {
	team             string
	perTask          wire.Resources
	admittedByLeader int         // tasks that the leader has admitted
	admittedByShard  map[int]int // tasks that shard owners have admitted, by shard
	placed           bool        // a task is assigned a machine
}

// teamCharge is a team's limit and what it is charged.
type teamCharge struct {
	limit            wire.Resources
	sharesByShard    map[int]wire.Resources // parts of the limit, by the shard whose owner may use them
	admittedByLeader wire.Resources         // charged for tasks that the leader has admitted
	admittedByShard  map[int]wire.Resources // charged for tasks that shard owners have admitted, by shard
}

// newQuotaAccounting returns an accounting without charges.
func newQuotaAccounting(sim *Simulation) *quotaAccounting {
	accounting := &quotaAccounting{
		sim: sim, jobs: map[string]jobCharge{}, teams: map[string]*teamCharge{}, highestLimits: map[string]wire.Resources{},
		createdAt: map[string]time.Duration{}, placedAt: map[string]time.Duration{},
	}
	for _, team := range sim.Teams {
		limit := wire.Resources{Cores: team.MaxCores, GPUs: team.MaxGPUs}
		accounting.teams[team.Name] = &teamCharge{limit: limit, admittedByShard: map[int]wire.Resources{}}
		accounting.highestLimits[team.Name] = limit
	}
	return accounting
}

// checkCommit applies a committed transaction to the charges. It checks that no team's
// charge is raised above its limit, and that new charges are conditional on the accounts of
// their teams.
func (a *quotaAccounting) checkCommit(conditions []kv.Condition, writes []recordWrite) {
	before := map[string]wire.Resources{}
	for name, charge := range a.teams {
		before[name] = charge.total()
	}
	changed := map[string]bool{}
	for _, write := range writes {
		switch {
		case strings.HasPrefix(write.key, wire.JobPrefix):
			changed[write.key[len(wire.JobPrefix):]] = true
		case strings.HasPrefix(write.key, wire.OverflowPrefix):
			jobID, _ := wire.SplitOverflowKey(write.key)
			changed[jobID] = true
		case strings.HasPrefix(write.key, wire.AccountPrefix):
			a.updateAccount(write)
		}
	}
	for jobID := range changed {
		previous := a.jobs[jobID]
		a.updateJob(jobID)
		a.checkChargeCondition(conditions, jobID, previous)
	}
	for name, charge := range a.teams {
		current, previous := charge.total(), before[name]
		if raisesAboveLimit(current.Cores, charge.limit.Cores, previous.Cores) || raisesAboveLimit(current.GPUs, charge.limit.GPUs, previous.GPUs) {
			a.sim.rules.reportViolation("quota", "revision %d charges %s %v, the limit is %v, charged before: %v", a.sim.store.revision, name, current, charge.limit, previous)
		}
	}
}

// checkChargeCondition checks that a commit which raises the charge of a job was conditional
// on the team's account, provided that the account is stored. Without the condition, the commit
// could be applied after the limit was lowered or the share revoked.
func (a *quotaAccounting) checkChargeCondition(conditions []kv.Condition, jobID string, previous jobCharge) {
	current := a.jobs[jobID]
	if current.admittedByLeader <= previous.admittedByLeader && current.countAdmittedByOwners() <= previous.countAdmittedByOwners() {
		return
	}
	key := wire.AccountKey(current.team)
	fenced := slices.ContainsFunc(conditions, func(c kv.Condition) bool { return c.Key == key })
	if a.sim.store.records[key] != nil && !fenced {
		a.sim.rules.reportViolation("unfenced", "%s is charged to %s without a condition on its account", jobID, current.team)
	}
}

// raisesAboveLimit reports whether a commit has raised a charge above its limit; 0 means no
// limit. A charge that already exceeded the limit, because the limit was lowered, must not rise.
func raisesAboveLimit(current, limit, previous float64) bool {
	return limit > 0 && current > limit+quotaTolerance && current > previous+quotaTolerance
}

// updateAccount applies a write of a team's account.
func (a *quotaAccounting) updateAccount(write recordWrite) {
	name := wire.AccountTeam(write.key)
	charge := a.teams[name]
	record, _ := mustDecodeRecord(write.key, write.raw).(*wire.Account)
	charge.sharesByShard = map[int]wire.Resources{}
	if record == nil || record.Unreadable {
		return
	}
	charge.limit = record.Limit
	highest := a.highestLimits[name]
	a.highestLimits[name] = wire.Resources{Cores: max(highest.Cores, record.Limit.Cores), GPUs: max(highest.GPUs, record.Limit.GPUs)}
	for _, share := range record.Shares {
		charge.sharesByShard[share.Shard] = wire.Resources{Cores: share.Cores, GPUs: share.GPUs}
	}
}

// updateJob recomputes a job's charge from its record and its overflow keys.
func (a *quotaAccounting) updateJob(jobID string) {
	before := a.jobs[jobID]
	a.applyCharge(before, -1)
	delete(a.jobs, jobID)
	charge, ok := a.readCharge(jobID)
	if !ok {
		return
	}
	a.jobs[jobID] = charge
	if _, known := a.createdAt[jobID]; !known {
		a.createdAt[jobID] = a.sim.now
	}
	if _, known := a.placedAt[jobID]; !known && charge.placed {
		a.placedAt[jobID] = a.sim.now
	}
	a.applyCharge(charge, 1)
	a.admissions += max(0, charge.countAdmittedByOwners()-before.countAdmittedByOwners())
}

// readCharge computes a job's charge from the store. It reports false if the job has no
// record, its record has no spec, or its team is unknown.
func (a *quotaAccounting) readCharge(jobID string) (charge jobCharge, ok bool) {
	records, key := a.sim.store.records, wire.JobKey(jobID)
	record := records[key]
	if record == nil {
		return jobCharge{}, false
	}
	job := mustDecodeRecord(key, record.raw).(*wire.Job)
	if job.Spec == nil || a.teams[job.Spec.Team] == nil {
		return jobCharge{}, false
	}
	charge = jobCharge{
		team:            job.Spec.Team,
		perTask:         wire.Resources{Cores: job.Spec.Cores, GPUs: job.Spec.GPUs},
		admittedByShard: map[int]int{},
	}
	charge.add(job.ActiveTasks)
	for i := 1; i <= job.OverflowKeys; i++ {
		key := wire.OverflowKey(jobID, i)
		if record := records[key]; record != nil {
			charge.add(mustDecodeRecord(key, record.raw).(*wire.Overflow).ActiveTasks)
		}
	}
	return charge, true
}

// add adds active tasks to the charge.
func (c *jobCharge) add(tasks wire.ActiveTasks) {
	for i := range tasks {
		c.placed = c.placed || tasks[i].Machine != ""
		if tasks[i].Admitted {
			c.admittedByShard[tasks[i].Shard]++
		} else {
			c.admittedByLeader++
		}
	}
}

// countAdmittedByOwners counts the tasks that shard owners have admitted.
func (c *jobCharge) countAdmittedByOwners() int {
	sum := 0
	for _, count := range c.admittedByShard {
		sum += count
	}
	return sum
}

// applyCharge adds a job's charge to its team's, or removes it with sign -1.
func (a *quotaAccounting) applyCharge(job jobCharge, sign int) {
	if job.team == "" {
		return
	}
	team := a.teams[job.team]
	team.admittedByLeader = addResources(team.admittedByLeader, job.perTask, sign*job.admittedByLeader)
	for shard, count := range job.admittedByShard {
		team.admittedByShard[shard] = addResources(team.admittedByShard[shard], job.perTask, sign*count)
	}
}

// addResources returns a plus count times b.
func addResources(a, b wire.Resources, count int) wire.Resources {
	return wire.Resources{Cores: a.Cores + b.Cores*float64(count), GPUs: a.GPUs + b.GPUs*float64(count)}
}

// total returns a team's charge: what the leader has admitted, plus for each shard the
// larger of its share and what its owner has admitted. The unused part of a share is
// included because the shard's owner may admit tasks within it at any time.
func (c *teamCharge) total() wire.Resources {
	sum := c.admittedByLeader
	for shard, share := range c.sharesByShard {
		used := c.admittedByShard[shard]
		sum.Cores += max(share.Cores, used.Cores)
		sum.GPUs += max(share.GPUs, used.GPUs)
	}
	for shard, used := range c.admittedByShard {
		if _, shared := c.sharesByShard[shard]; !shared {
			sum = addResources(sum, used, 1)
		}
	}
	return sum
}

// countShares counts the shares that are distributed to shards.
func (a *quotaAccounting) countShares() int {
	count := 0
	for _, charge := range a.teams {
		count += len(charge.sharesByShard)
	}
	return count
}
