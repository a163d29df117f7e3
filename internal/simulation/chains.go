package simulation

import (
	"fmt"
	"strings"
	"time"

	"micaport/internal/wire"
)

// above finds a job that this one waits on, directly or through others.
func (u *userSim) above(is func(*userSim) bool) *userSim {
	seen := map[string]bool{}
	list := append([]string(nil), u.spec.Dependencies...)
	for len(list) > 0 {
		ref := list[len(list)-1]
		list = list[:len(list)-1]
		a := u.w.users[ref]
		if a == nil || seen[ref] {
			continue
		}
		seen[ref] = true
		if is(a) {
			return a
		}
		list = append(list, a.spec.Dependencies...)
	}
	return nil
}

// held tells whether a job can't run yet, or ever, for those that it waits on.
func (u *userSim) held() bool {
	return u.above(func(a *userSim) bool { return a.asked || a.fails || !a.ended() }) != nil
}

// pipeline has a user submit a chain of jobs shaped like a diamond, each as soon as
// those that it needs are accepted, the last in some cases only when they are over.
// Some users call one of them off after a while.
func (w *World) pipeline(cancelled, late float64) {
	id := func() string {
		w.bulk++
		return fmt.Sprintf("wk-%06d", 800000+w.bulk)
	}
	var all []string
	stage := func(needs []string, over bool, attrs string) string {
		ref := id()
		all = append(all, ref)
		fields := strings.Fields(attrs)
		if len(needs) > 0 {
			fields = append(fields, "after="+strings.Join(needs, ","))
		}
		var try func()
		try = func() {
			for _, r := range needs {
				a := w.users[r]
				if a == nil || !a.accepted || over && a.told != wire.StatusDone && a.told != wire.StatusCancelled {
					w.after(100*time.Millisecond, try)
					return
				}
			}
			must(w.submitLine(append([]string{ref}, fields...)))
		}
		try()
		return ref
	}
	first := stage(nil, false, "frames=4 run=5 cards=0 cores=1 mem=2 gb=0.3 urgency=low class=bake")
	second := []string{
		stage([]string{first}, false, "frames=12 run=6 cards=0 cores=1 mem=2 gb=0.3 urgency=low class=mesh"),
		stage([]string{first}, false, "frames=8 run=7 cards=0 cores=1 mem=2 gb=0.3 urgency=low class=mesh"),
		stage([]string{first}, false, "shape=gang frames=2 run=5 cards=0 cores=1 mem=2 gb=0.3 one_zone class=solve"),
	}
	stage(second, w.rng.Float64() < late, "frames=2 run=3 cards=0 cores=1 mem=2 gb=0.2 urgency=high class=last due=90")
	if w.rng.Float64() < cancelled {
		w.after(time.Duration(w.rng.IntN(25000))*time.Millisecond, func() {
			if u := w.users[all[w.rng.IntN(len(all))]]; u != nil && u.accepted && !u.asked {
				w.Withdraw(u.spec.ID)
			}
		})
	}
}

// fanIn has a user submit a number of small jobs at once and, as soon as all are
// accepted, one that waits on every one of them.
func (w *World) fanIn(ref string, count int, attributes []string) error {
	var needs []string
	for range count {
		w.bulk++
		need := fmt.Sprintf("wk-%06d", 700000+w.bulk)
		needs = append(needs, need)
		if err := w.submitLine([]string{need, "frames=1", "run=4", "cards=0", "cores=0.2", "mem=0.5", "gb=0.3", "class=part"}); err != nil {
			return err
		}
	}
	var submit func()
	submit = func() {
		for _, need := range needs {
			if !w.users[need].accepted {
				w.after(100*time.Millisecond, submit)
				return
			}
		}
		must(w.submitLine(append([]string{ref, "after=" + strings.Join(needs, ",")}, attributes...)))
	}
	submit()
	return nil
}
