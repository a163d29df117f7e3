package simulation

import (
	"slices"
	"strings"
	"time"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// quotaAccounting follows what every revision of the records charges to each team, and checks
// that no commit brings a team beyond the limit that is in force in that revision. It is
// worked out from the stored bytes, not from what any controller knows.
type quotaAccounting struct {
	sim           *Simulation
	jobs          map[string]jobCharge
	teams         map[string]*teamCharge
	highestLimits map[string]wire.Resources // the highest limits that have been in force
	admissions    int                       // tasks that owners have admitted
	createdAt     map[string]time.Duration  // when each job's record was made
	placedAt      map[string]time.Duration  // when a task of each job first had a machine
}

// jobCharge is what the active tasks of one job are charged.
type jobCharge struct {
	team     string
	perTask  wire.Resources
	byLeader int
	admitted map[int]int // by shard
	placed   bool        // a task has a machine
}

// teamCharge is what a team is charged.
type teamCharge struct {
	limit    wire.Resources
	shares   map[int]wire.Resources
	byLeader wire.Resources
	admitted map[int]wire.Resources
}

const quotaTolerance = 1e-6

func newQuotaAccounting(sim *Simulation) *quotaAccounting {
	accounting := &quotaAccounting{sim: sim, jobs: map[string]jobCharge{}, teams: map[string]*teamCharge{}, highestLimits: map[string]wire.Resources{}, createdAt: map[string]time.Duration{}, placedAt: map[string]time.Duration{}}
	for _, t := range sim.Teams {
		limit := wire.Resources{Cores: t.MaxCores, GPUs: t.MaxGPUs}
		accounting.teams[t.Name] = &teamCharge{limit: limit, admitted: map[int]wire.Resources{}}
		accounting.highestLimits[t.Name] = limit
	}
	return accounting
}

// checkCommit takes in a transaction and checks what it leads to, and that what it charges
// rests on the accounts of its teams.
func (accounting *quotaAccounting) checkCommit(conditions []core.Condition, writes []recordWrite) {
	before := map[string]wire.Resources{}
	for name, charge := range accounting.teams {
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
			accounting.updateAccount(write)
		}
	}
	for jobID := range changed {
		was := accounting.jobs[jobID]
		accounting.updateJob(jobID)
		accounting.checkFence(conditions, jobID, was)
	}
	for name, charge := range accounting.teams {
		now, was := charge.total(), before[name]
		if raisesAboveLimit(now.Cores, charge.limit.Cores, was.Cores) || raisesAboveLimit(now.GPUs, charge.limit.GPUs, was.GPUs) {
			accounting.sim.rules.violated("quota", "revision %d charges %s %v, limit %v, before %v", accounting.sim.store.revision, name, now, charge.limit, was)
		}
	}
}

// checkFence checks that a commit which charges more to a team, or to its shares, was
// conditional on the team's account, if there is one: without that it could come after
// the limit was lowered, or the share cancelled.
func (accounting *quotaAccounting) checkFence(conditions []core.Condition, jobID string, was jobCharge) {
	now := accounting.jobs[jobID]
	if now.byLeader <= was.byLeader && now.countAdmitted() <= was.countAdmitted() {
		return
	}
	key := wire.AccountKey(now.team)
	if record := accounting.sim.store.records[key]; record != nil && !slices.ContainsFunc(conditions, func(c core.Condition) bool { return c.Key == key }) {
		accounting.sim.rules.violated("unfenced", "%s is charged to %s without a condition on its account", jobID, now.team)
	}
}

// raisesAboveLimit tells whether a commit has brought a charge beyond its limit. One that was
// beyond it already, since the limit has been lowered, may only fall.
func raisesAboveLimit(now, limit, was float64) bool {
	return limit > 0 && now > limit+quotaTolerance && now > was+quotaTolerance
}

// updateAccount takes in the record of a team's account.
func (accounting *quotaAccounting) updateAccount(write recordWrite) {
	name := wire.AccountTeam(write.key)
	charge := accounting.teams[name]
	record, _ := mustDecodeRecord(write.key, write.raw).(*wire.Account)
	charge.shares = map[int]wire.Resources{}
	if record == nil || record.Unreadable {
		return
	}
	charge.limit = record.Limit
	high := accounting.highestLimits[name]
	accounting.highestLimits[name] = wire.Resources{Cores: max(high.Cores, record.Limit.Cores), GPUs: max(high.GPUs, record.Limit.GPUs)}
	for _, s := range record.Shares {
		charge.shares[s.Shard] = wire.Resources{Cores: s.Cores, GPUs: s.GPUs}
	}
}

// updateJob takes in a job's record and its overflow keys.
func (accounting *quotaAccounting) updateJob(jobID string) {
	before := accounting.jobs[jobID]
	accounting.applyCharge(before, -1)
	delete(accounting.jobs, jobID)
	record := accounting.sim.store.records[wire.JobKey(jobID)]
	if record == nil {
		return
	}
	job := mustDecodeRecord(wire.JobKey(jobID), record.raw).(*wire.Job)
	if job.Spec == nil || accounting.teams[job.Spec.Team] == nil {
		return
	}
	c := jobCharge{team: job.Spec.Team, perTask: wire.Resources{Cores: job.Spec.Cores, GPUs: job.Spec.GPUs}, admitted: map[int]int{}}
	c.add(job.ActiveTasks)
	for k := 1; k <= job.OverflowKeys; k++ {
		if record := accounting.sim.store.records[wire.OverflowKey(jobID, k)]; record != nil {
			c.add(mustDecodeRecord(wire.OverflowKey(jobID, k), record.raw).(*wire.Overflow).ActiveTasks)
		}
	}
	accounting.jobs[jobID] = c
	if _, known := accounting.createdAt[jobID]; !known {
		accounting.createdAt[jobID] = accounting.sim.now
	}
	if _, known := accounting.placedAt[jobID]; !known && c.placed {
		accounting.placedAt[jobID] = accounting.sim.now
	}
	accounting.applyCharge(c, 1)
	accounting.admissions += max(0, c.countAdmitted()-before.countAdmitted())
}

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

// countAdmitted counts the tasks that owners have admitted.
func (c *jobCharge) countAdmitted() int {
	sum := 0
	for _, count := range c.admitted {
		sum += count
	}
	return sum
}

// applyCharge adds a job's charge to its team's, or removes it with sign -1.
func (accounting *quotaAccounting) applyCharge(c jobCharge, sign int) {
	if c.team == "" {
		return
	}
	charge := accounting.teams[c.team]
	charge.byLeader = addResources(charge.byLeader, c.perTask, sign*c.byLeader)
	for part, count := range c.admitted {
		charge.admitted[part] = addResources(charge.admitted[part], c.perTask, sign*count)
	}
}

func addResources(a, b wire.Resources, count int) wire.Resources {
	return wire.Resources{Cores: a.Cores + b.Cores*float64(count), GPUs: a.GPUs + b.GPUs*float64(count)}
}

// total is what a team is charged: what the leader has granted, and of each shard the
// share or what was admitted, whichever is more. What nobody uses of a share counts too,
// since its holder may admit within it at any moment.
func (charge *teamCharge) total() wire.Resources {
	sum := charge.byLeader
	for part, share := range charge.shares {
		used := charge.admitted[part]
		sum.Cores += max(share.Cores, used.Cores)
		sum.GPUs += max(share.GPUs, used.GPUs)
	}
	for part, used := range charge.admitted {
		if _, shared := charge.shares[part]; !shared {
			sum = addResources(sum, used, 1)
		}
	}
	return sum
}

// countShares counts the shares that are distributed.
func (accounting *quotaAccounting) countShares() int {
	count := 0
	for _, charge := range accounting.teams {
		count += len(charge.shares)
	}
	return count
}
