package simulation

import (
	"slices"
	"strings"
	"time"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// quotaTolerance is the rounding error that sums of resources may have.
const quotaTolerance = 1e-6

// quotaAccounting follows what every revision of the records charges to each team, and
// checks that no commit brings a team above the limit in force in that revision. It is
// computed from the stored bytes, not from what any controller knows.
type quotaAccounting struct {
	sim           *Simulation
	jobs          map[string]jobCharge
	teams         map[string]*teamCharge
	highestLimits map[string]wire.Resources // the highest limits that each team has had
	admissions    int                       // tasks that shard owners have admitted
	createdAt     map[string]time.Duration  // when each job's record was created
	placedAt      map[string]time.Duration  // when a task of each job first had a machine
}

// jobCharge is what the active tasks of a job are charged.
type jobCharge struct {
	team     string
	perTask  wire.Resources
	byLeader int         // tasks that the leader has admitted
	admitted map[int]int // tasks that shard owners have admitted, by shard
	placed   bool        // a task has a machine
}

// teamCharge is what a team is charged.
type teamCharge struct {
	limit    wire.Resources
	shares   map[int]wire.Resources // by shard
	byLeader wire.Resources
	admitted map[int]wire.Resources // by shard
}

// newQuotaAccounting returns an accounting without charges.
func newQuotaAccounting(sim *Simulation) *quotaAccounting {
	accounting := &quotaAccounting{
		sim: sim, jobs: map[string]jobCharge{}, teams: map[string]*teamCharge{}, highestLimits: map[string]wire.Resources{},
		createdAt: map[string]time.Duration{}, placedAt: map[string]time.Duration{},
	}
	for _, team := range sim.Teams {
		limit := wire.Resources{Cores: team.MaxCores, GPUs: team.MaxGPUs}
		accounting.teams[team.Name] = &teamCharge{limit: limit, admitted: map[int]wire.Resources{}}
		accounting.highestLimits[team.Name] = limit
	}
	return accounting
}

// checkCommit applies a transaction that has been carried out, and checks that it brings no
// team above its limit and that its charges are conditional on the teams' accounts.
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
		was := a.jobs[jobID]
		a.updateJob(jobID)
		a.checkFence(conditions, jobID, was)
	}
	for name, charge := range a.teams {
		now, was := charge.total(), before[name]
		if raisesAboveLimit(now.Cores, charge.limit.Cores, was.Cores) || raisesAboveLimit(now.GPUs, charge.limit.GPUs, was.GPUs) {
			a.sim.rules.violated("quota", "revision %d charges %s %v, limit %v, before %v", a.sim.store.revision, name, now, charge.limit, was)
		}
	}
}

// checkFence checks that a commit which charges more for a job was conditional on the
// team's account, if there is one. Without that it could be carried out after the limit was
// lowered, or the share revoked.
func (a *quotaAccounting) checkFence(conditions []kv.Condition, jobID string, was jobCharge) {
	now := a.jobs[jobID]
	if now.byLeader <= was.byLeader && now.countAdmitted() <= was.countAdmitted() {
		return
	}
	key := wire.AccountKey(now.team)
	fenced := slices.ContainsFunc(conditions, func(c kv.Condition) bool { return c.Key == key })
	if a.sim.store.records[key] != nil && !fenced {
		a.sim.rules.violated("unfenced", "%s is charged to %s without a condition on its account", jobID, now.team)
	}
}

// raisesAboveLimit reports whether a commit has raised a charge above its limit. One that
// was above it already, since the limit was lowered, may only fall.
func raisesAboveLimit(now, limit, was float64) bool {
	return limit > 0 && now > limit+quotaTolerance && now > was+quotaTolerance
}

// updateAccount applies a write of a team's account.
func (a *quotaAccounting) updateAccount(write recordWrite) {
	name := wire.AccountTeam(write.key)
	charge := a.teams[name]
	record, _ := mustDecodeRecord(write.key, write.raw).(*wire.Account)
	charge.shares = map[int]wire.Resources{}
	if record == nil || record.Unreadable {
		return
	}
	charge.limit = record.Limit
	highest := a.highestLimits[name]
	a.highestLimits[name] = wire.Resources{Cores: max(highest.Cores, record.Limit.Cores), GPUs: max(highest.GPUs, record.Limit.GPUs)}
	for _, share := range record.Shares {
		charge.shares[share.Shard] = wire.Resources{Cores: share.Cores, GPUs: share.GPUs}
	}
}

// updateJob computes a job's charge anew from its record and its overflow keys.
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
	a.admissions += max(0, charge.countAdmitted()-before.countAdmitted())
}

// readCharge reads a job's charge from the store. It reports false if the job has no record
// with its spec, or its team is unknown.
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
		team:     job.Spec.Team,
		perTask:  wire.Resources{Cores: job.Spec.Cores, GPUs: job.Spec.GPUs},
		admitted: map[int]int{},
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

// add adds active tasks to a job's charge.
func (c *jobCharge) add(tasks wire.ActiveTasks) {
	for i := range tasks {
		c.placed = c.placed || tasks[i].Machine != ""
		if tasks[i].Admitted {
			c.admitted[tasks[i].Shard]++
		} else {
			c.byLeader++
		}
	}
}

// countAdmitted counts the tasks that shard owners have admitted.
func (c *jobCharge) countAdmitted() int {
	sum := 0
	for _, count := range c.admitted {
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
	team.byLeader = addResources(team.byLeader, job.perTask, sign*job.byLeader)
	for shard, count := range job.admitted {
		team.admitted[shard] = addResources(team.admitted[shard], job.perTask, sign*count)
	}
}

// addResources returns a plus count times b.
func addResources(a, b wire.Resources, count int) wire.Resources {
	return wire.Resources{Cores: a.Cores + b.Cores*float64(count), GPUs: a.GPUs + b.GPUs*float64(count)}
}

// total returns what a team is charged: what the leader has admitted, and of each shard the
// share or what was admitted, whichever is more. Unused parts of a share count too, since
// the shard's owner may admit within it at any moment.
func (c *teamCharge) total() wire.Resources {
	sum := c.byLeader
	for shard, share := range c.shares {
		used := c.admitted[shard]
		sum.Cores += max(share.Cores, used.Cores)
		sum.GPUs += max(share.GPUs, used.GPUs)
	}
	for shard, used := range c.admitted {
		if _, shared := c.shares[shard]; !shared {
			sum = addResources(sum, used, 1)
		}
	}
	return sum
}

// countShares counts the shares that are distributed.
func (a *quotaAccounting) countShares() int {
	count := 0
	for _, charge := range a.teams {
		count += len(charge.shares)
	}
	return count
}
