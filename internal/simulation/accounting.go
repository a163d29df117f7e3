package simulation

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"micaport/internal/core"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// accounting follows what every revision of the records charges to each team, and checks
// that no commit brings a team beyond the limit that is in force in that revision. It is
// worked out from the stored bytes, not from what any controller knows.
type accounting struct {
	w          *World
	jobs       map[string]jobCharge
	teams      map[string]*teamCharge
	highest    map[string]wire.Resources // the highest limits that have been in force
	admissions int                       // tasks that owners have admitted
	createdAt  map[string]time.Duration  // when each job's record was made
	placedAt   map[string]time.Duration  // when a task of each job first had a machine
}

// jobCharge is what the active tasks of one job are charged.
type jobCharge struct {
	team     string
	each     wire.Resources
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

const rounding = 1e-6

func newAccounting(w *World) *accounting {
	a := &accounting{w: w, jobs: map[string]jobCharge{}, teams: map[string]*teamCharge{}, highest: map[string]wire.Resources{}, createdAt: map[string]time.Duration{}, placedAt: map[string]time.Duration{}}
	for _, t := range w.Teams {
		limit := wire.Resources{Cores: t.MaxCores, GPUs: t.MaxGPUs}
		a.teams[t.Name] = &teamCharge{limit: limit, admitted: map[int]wire.Resources{}}
		a.highest[t.Name] = limit
	}
	return a
}

// committed takes in a transaction and checks what it leads to, and that what it charges
// rests on the accounts of its teams.
func (a *accounting) committed(conds []core.Condition, puts []put) {
	before := map[string]wire.Resources{}
	for name, t := range a.teams {
		before[name] = t.total()
	}
	changed := map[string]bool{}
	for _, p := range puts {
		switch {
		case strings.HasPrefix(p.key, wire.JobPrefix):
			changed[p.key[len(wire.JobPrefix):]] = true
		case strings.HasPrefix(p.key, wire.OverflowPrefix):
			ref, _ := wire.SplitOverflowKey(p.key)
			changed[ref] = true
		case strings.HasPrefix(p.key, wire.AccountPrefix):
			a.account(p)
		}
	}
	for ref := range changed {
		was := a.jobs[ref]
		a.job(ref)
		a.checkFence(conds, ref, was)
	}
	for name, t := range a.teams {
		now, was := t.total(), before[name]
		if exceeds(now.Cores, t.limit.Cores, was.Cores) || exceeds(now.GPUs, t.limit.GPUs, was.GPUs) {
			a.w.broke("quota", "revision %d charges %s %v, limit %v, before %v", a.w.store.rev, name, now, t.limit, was)
		}
	}
}

// checkFence checks that a commit which charges more to a team, or to its shares, was
// conditional on the team's account, if there is one: without that it could come after
// the limit was lowered, or the share cancelled.
func (a *accounting) checkFence(conds []core.Condition, ref string, was jobCharge) {
	now := a.jobs[ref]
	if now.byLeader <= was.byLeader && now.countAdmitted() <= was.countAdmitted() {
		return
	}
	key := wire.AccountKey(now.team)
	if e := a.w.store.keys[key]; e != nil && !slices.ContainsFunc(conds, func(c core.Condition) bool { return c.Key == key }) {
		a.w.broke("unfenced", "%s is charged to %s without a condition on its account", ref, now.team)
	}
}

// exceeds tells whether a commit has brought a charge beyond its limit. One that was
// beyond it already, since the limit has been lowered, may only fall.
func exceeds(now, limit, was float64) bool {
	return limit > 0 && now > limit+rounding && now > was+rounding
}

// account takes in the record of a team's account.
func (a *accounting) account(p put) {
	name := wire.AccountTeam(p.key)
	t := a.teams[name]
	record, _ := decode(p.key, p.raw).(*wire.Account)
	t.shares = map[int]wire.Resources{}
	if record == nil || record.Unreadable {
		return
	}
	t.limit = record.Limit
	high := a.highest[name]
	a.highest[name] = wire.Resources{Cores: max(high.Cores, record.Limit.Cores), GPUs: max(high.GPUs, record.Limit.GPUs)}
	for _, s := range record.Shares {
		t.shares[s.Shard] = wire.Resources{Cores: s.Cores, GPUs: s.GPUs}
	}
}

// job takes in a job's record and its overflow keys.
func (a *accounting) job(ref string) {
	before := a.jobs[ref]
	a.apply(before, -1)
	delete(a.jobs, ref)
	e := a.w.store.keys[wire.JobKey(ref)]
	if e == nil {
		return
	}
	rec := decode(wire.JobKey(ref), e.raw).(*wire.Job)
	if rec.Spec == nil || a.teams[rec.Spec.Team] == nil {
		return
	}
	c := jobCharge{team: rec.Spec.Team, each: wire.Resources{Cores: rec.Spec.Cores, GPUs: rec.Spec.GPUs}, admitted: map[int]int{}}
	c.add(rec.ActiveTasks)
	for k := 1; k <= rec.OverflowKeys; k++ {
		if e := a.w.store.keys[wire.OverflowKey(ref, k)]; e != nil {
			c.add(decode(wire.OverflowKey(ref, k), e.raw).(*wire.Overflow).ActiveTasks)
		}
	}
	a.jobs[ref] = c
	if _, known := a.createdAt[ref]; !known {
		a.createdAt[ref] = a.w.now
	}
	if _, known := a.placedAt[ref]; !known && c.placed {
		a.placedAt[ref] = a.w.now
	}
	a.apply(c, 1)
	a.admissions += max(0, c.countAdmitted()-before.countAdmitted())
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

// apply adds a job's charge to its team's, or removes it with sign -1.
func (a *accounting) apply(c jobCharge, sign int) {
	if c.team == "" {
		return
	}
	t := a.teams[c.team]
	t.byLeader = plus(t.byLeader, c.each, sign*c.byLeader)
	for part, count := range c.admitted {
		t.admitted[part] = plus(t.admitted[part], c.each, sign*count)
	}
}

func plus(a, b wire.Resources, count int) wire.Resources {
	return wire.Resources{Cores: a.Cores + b.Cores*float64(count), GPUs: a.GPUs + b.GPUs*float64(count)}
}

// total is what a team is charged: what the leader has granted, and of each shard the
// share or what was admitted, whichever is more. What nobody uses of a share counts too,
// since its holder may admit within it at any moment.
func (t *teamCharge) total() wire.Resources {
	sum := t.byLeader
	for part, share := range t.shares {
		used := t.admitted[part]
		sum.Cores += max(share.Cores, used.Cores)
		sum.GPUs += max(share.GPUs, used.GPUs)
	}
	for part, used := range t.admitted {
		if _, shared := t.shares[part]; !shared {
			sum = plus(sum, used, 1)
		}
	}
	return sum
}

// openShares counts the shares that are distributed.
func (a *accounting) openShares() int {
	count := 0
	for _, t := range a.teams {
		count += len(t.shares)
	}
	return count
}

// changeLimit plays an operator who changes a team's limit with the command line.
func (w *World) changeLimit(team string, args []string) error {
	now := &wire.Account{}
	for _, t := range w.Teams {
		if t.Name == team {
			now.Limit = wire.Resources{Cores: t.MaxCores, GPUs: t.MaxGPUs}
			now.Guarantee = wire.Resources{Cores: t.GuaranteedCores, GPUs: t.GuaranteedGPUs}
		}
	}
	key := wire.AccountKey(team)
	if e := w.store.keys[key]; e != nil {
		if stored := decode(key, e.raw).(*wire.Account); !stored.Unreadable {
			now = stored
		}
	}
	change := quota.Change{Team: team, Version: now.Version}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		x, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil:
			return fmt.Errorf("bad number in %s: %w", arg, err)
		case name == "cards":
			change.GPUsLimit = &x
		case name == "cores":
			change.CoresLimit = &x
		case name == "guarantee":
			change.GPUsGuarantee = &x
		default:
			return errors.New("unknown amount " + name)
		}
	}
	next, err := change.Apply(now)
	if err != nil {
		return err
	}
	raw, err := wire.Encode(next)
	if err != nil {
		return err
	}
	w.store.overwrite(key, raw)
	return nil
}

// overwrite writes a key from outside the controllers.
func (s *store) overwrite(key string, raw []byte) {
	s.rev++
	p := put{key: key, raw: raw}
	s.apply(p, s.rev)
	s.w.accounting.committed(nil, []put{p})
	s.notify()
}
