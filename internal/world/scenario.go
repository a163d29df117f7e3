package world

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/tools/txtar"

	"micaport/internal/core"
	"micaport/internal/wire"
)

// A scenario is a text file: a comment that says what is guarded against,
// then the sections
//
//	-- world --   settings, one "name value..." a line
//	-- script --  "at SECONDS VERB ARGUMENTS" lines, in any order
//	-- seeds --   how many seeds to play it with; 1 if absent
//
// The verbs are those of run below.

// Play runs a scenario with every seed and reports what went wrong.
func Play(a *txtar.Archive, trace func(string, ...any)) []string {
	seeds := 1
	var world, script string
	for _, f := range a.Files {
		switch f.Name {
		case "world":
			world = string(f.Data)
		case "script":
			script = string(f.Data)
		case "seeds":
			n, err := strconv.Atoi(strings.TrimSpace(string(f.Data)))
			if err != nil {
				return []string{"seeds: " + err.Error()}
			}
			seeds = n
		default:
			return []string{"unknown section " + f.Name}
		}
	}
	for seed := 1; seed <= seeds; seed++ {
		s := Defaults()
		s.Seed = uint64(seed)
		if err := s.read(world); err != nil {
			return []string{"world: " + err.Error()}
		}
		w := New(s, trace)
		if faults := w.script(script); len(faults) > 0 {
			return append([]string{fmt.Sprintf("seed %d:", seed)}, faults...)
		}
	}
	return nil
}

// numbers maps the names of settings to the numbers that they set.
func (s *Settings) numbers() map[string]func(float64) {
	whole := func(field *int) func(float64) { return func(x float64) { *field = int(x) } }
	decimal := func(field *float64) func(float64) { return func(x float64) { *field = x } }
	duration := func(field *time.Duration) func(float64) { return func(x float64) { *field = secs(x) } }
	return map[string]func(float64){
		"capacity":         whole(&s.Capacity),
		"write_rps":        decimal(&s.WriteRPS),
		"boot_s":           duration(&s.Boot),
		"report_s":         duration(&s.Report),
		"lease_s":          duration(&s.Lease),
		"cancel_s":         duration(&s.Cancel),
		"idle_s":           duration(&s.Idle),
		"txn_ops":          whole(&s.TxnOps),
		"value_bytes":      whole(&s.ValueBytes),
		"next_write_rps":   decimal(&s.NextWriteRPS),
		"next_txn_ops":     whole(&s.NextTxnOps),
		"next_value_bytes": whole(&s.NextValueBytes),
		"old_format":       whole(&s.OldFormat),
		"admission":        whole((*int)(&s.Admission)),
	}
}

// read takes the settings of a scenario.
func (s *Settings) read(text string) error {
	numbers := s.numbers()
	for _, line := range lines(text) {
		f := strings.Fields(line)
		if len(f) < 2 {
			return fmt.Errorf("bad line %q", line)
		}
		switch name := f[0]; {
		case name == "nodes":
			s.Nodes = f[1:]
		case name == "zones":
			s.Zones = f[1:]
		case numbers[name] != nil:
			x, err := strconv.ParseFloat(f[1], 64)
			if err != nil {
				return fmt.Errorf("bad number in %q", line)
			}
			numbers[name](x)
		default:
			return fmt.Errorf("unknown setting %s", name)
		}
	}
	return nil
}

func secs(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func lines(text string) []string {
	var out []string
	for _, l := range strings.Split(text, "\n") {
		if l = strings.TrimSpace(l); l != "" && !strings.HasPrefix(l, "#") {
			out = append(out, l)
		}
	}
	return out
}

// script plays the lines and collects failed expectations and broken rules.
func (w *World) script(text string) []string {
	var faults []string
	last := time.Duration(0)
	for _, line := range lines(text) {
		f := strings.Fields(line)
		if len(f) < 3 || f[0] != "at" {
			return []string{fmt.Sprintf("bad line %q", line)}
		}
		at, err := strconv.ParseFloat(f[1], 64)
		if err != nil {
			return []string{fmt.Sprintf("bad time in %q", line)}
		}
		last = max(last, secs(at))
		w.after(secs(at), func() {
			if err := w.verb(f[2], f[3:]); err != nil {
				faults = append(faults, fmt.Sprintf("%s: %v", line, err))
			}
		})
	}
	w.Run(last + time.Millisecond)
	if len(w.Broken) == 0 {
		faults = append(faults, w.served()...)
	}
	return append(faults, w.Broken...)
}

// numbers reads a verb's arguments as numbers and as seconds; 0 where there are fewer.
func numbers(args []string) (num func(int) float64, dur func(int) time.Duration) {
	num = func(i int) float64 {
		if i >= len(args) {
			return 0
		}
		x, _ := strconv.ParseFloat(args[i], 64)
		return x
	}
	return num, func(i int) time.Duration { return secs(num(i)) }
}

// verb runs one line of a script.
func (w *World) verb(verb string, args []string) error {
	num, dur := numbers(args)
	switch verb {
	case "submit":
		return w.submitLine(args)
	case "withdraw":
		w.Withdraw(args[0])
	case "repeat": // submit a known job once more
		w.users[args[0]].submit(w.now)
	case "repeat-faulty": // submit a known job's id with nothing else
		body, err := wire.Encode(map[string]any{"ref": args[0]})
		if err != nil {
			return err
		}
		w.users[args[0]].send(w.now, body)
	case "stick": // a user asks one controller only
		w.users[args[0]].only = w.controller(args[1])
	case "stash": // keep a machine's report as it is now, to be delivered late
		k := w.hostOf(args[0])
		if args[0] == "any" {
			k = w.up()[0]
		}
		if k == nil {
			return fmt.Errorf("no such machine")
		}
		w.stashed = k.snapshot()
	case "deliver": // the kept report, to a controller
		r := w.stashed
		w.nodes[int(num(0))].ask(func(req uint64) any { return core.Reported{Req: req, Report: r} }, func(core.Reply) {})
	case "watch-hangs": // controller, seconds for which its watch hangs
		w.HangWatch(w.controller(args[0]), dur(1))
	case "crash": // controller, seconds until it is back
		w.Crash(w.controller(args[0]), dur(1))
	case "freeze": // controller, seconds for which it stands still
		w.Freeze(w.controller(args[0]), dur(1))
	case "boots": // times as long, share that never comes, seconds
		w.cloud.late, w.cloud.never, w.cloud.lateTo = num(0), num(1), w.now+dur(2)
		w.troubled(dur(2))
	case "polls": // seconds for which each user asks COUNT times a second
		for s := range int(num(0)) {
			w.after(time.Duration(s)*time.Second, func() {
				for i := range int(num(1)) {
					for _, u := range w.order {
						w.after(time.Duration(i)*time.Second/time.Duration(num(1)), u.poll)
					}
				}
			})
		}
	case "outage":
		w.Outage(dur(0))
	case "refuse": // controller, seconds
		w.Refuse(w.controller(args[0]), dur(1))
	case "cut": // two ends, seconds, perhaps "hold"
		a := args[0]
		if task, ok := strings.CutPrefix(a, "host:"); ok {
			k := w.hostOf(task)
			if k == nil {
				return fmt.Errorf("no such machine")
			}
			a = k.m.Name
		} else if a == "leader" || a == "other" {
			a = w.nodes[w.controller(a)].label
		}
		w.Cut(a, args[1], dur(2), len(args) > 3 && args[3] == "hold")
	case "cloud-outage":
		w.cloud.outage = true
		w.after(dur(0), func() { w.cloud.outage = false })
	case "no-capacity":
		w.cloud.short = true
		w.after(dur(0), func() { w.cloud.short = false })
	case "lossy": // share lost, share late, seconds
		w.loss, w.late, w.lossTo = num(0), num(1), w.now+dur(2)
		w.troubled(dur(2))
	case "copies": // seconds for which every report comes twice, up to SECONDS late
		w.copiesTo, w.copyDelay = w.now+dur(0), dur(1)
		w.troubled(dur(0) + dur(1))
	case "blink": // seconds for which controllers end and are back within half a second
		w.blink(w.now + dur(0))
	case "hang", "take", "sick", "recall", "deaf", "mute", "reset":
		return w.machineVerb(verb, args)
	case "many": // COUNT of the machines that are up, a machine's trouble, seconds
		up := w.up()
		w.rng.Shuffle(len(up), func(i, k int) { up[i], up[k] = up[k], up[i] })
		for _, k := range up[:min(len(up), int(num(0)))] {
			w.trouble(args[1], k, dur(2))
		}
	case "storm": // seconds
		w.storm(w.now + dur(0))
	case "bulk": // COUNT jobs, one a second, each withdrawn SECONDS later if not 0
		for i := range int(num(0)) {
			ref := fmt.Sprintf("wk-%06d", 900000+w.bulk)
			w.bulk++
			w.after(time.Duration(i)*time.Second, func() {
				if w.submitLine(append([]string{ref}, args[2:]...)) == nil && num(1) > 0 {
					w.after(dur(1)+time.Duration(w.rng.IntN(2000))*time.Millisecond, func() { w.Withdraw(ref) })
				}
			})
		}
	case "fan-in": // REF waits on COUNT small jobs, which come first; with attributes
		return w.fanIn(args[0], int(num(1)), args[2:])
	case "limit": // TEAM cards=N, cores=N: an operator changes a team's limit
		return w.changeLimit(args[0], args[1:])
	case "damage": // TEAM: the record of its account can't be read any more
		w.store.overwrite(wire.AccountKey(args[0]), []byte{0xc1})
	case "switch": // what owners admit by themselves, for controllers that start from here on
		w.Admission = core.Admission(num(0))
	case "meter": // count from here on
		w.meter = meter{since: w.now, work: w.work()}
	case "expect":
		return w.expect(args)
	default:
		return w.meeting(verb, args)
	}
	return nil
}

func (w *World) submitLine(args []string) error {
	s := wire.Spec{Ref: args[0], Class: "c", Team: "wide", Shape: "array", Urgency: "standard", Frames: 1,
		Cores: 4, Cards: 1, MemoryGB: 16, Image: "img", ImageGB: 2, ExpectedS: 20, CheckpointS: 5, SaveS: 2, Spot: true}
	run, fails, only := 20*time.Second, false, -1
	for _, a := range args[1:] {
		k, v, _ := strings.Cut(a, "=")
		x, _ := strconv.ParseFloat(v, 64)
		switch k {
		case "shape":
			s.Shape = v
			if v == wire.ShapeDaemon {
				s.ExpectedS, s.CheckpointS, s.SaveS = 0, 0, 0
			}
		case "team":
			s.Team = v
		case "class":
			s.Class = v
		case "urgency":
			s.Urgency = v
		case "frames":
			s.Frames = int(x)
		case "cards":
			s.Cards = x
		case "cores":
			s.Cores = x
		case "mem":
			s.MemoryGB = x
		case "image":
			s.Image = v
		case "gb":
			s.ImageGB = x
		case "zone":
			s.Zone = v
		case "rig":
			s.Rigs = []string{v}
		case "one_zone":
			s.SameZone = true
		case "spread":
			s.Spread = true
		case "ordinary":
			s.Spot = false
		case "no-checkpoints":
			s.CheckpointS, s.SaveS = 0, 0
		case "run":
			run = secs(x)
		case "ask":
			only = int(x)
		case "fails":
			fails = true
		case "after":
			s.WaitsOn = strings.Split(v, ",")
		case "due":
			s.DueS = x
		default:
			return fmt.Errorf("unknown attribute %s", k)
		}
	}
	w.Submit(s, run, only)
	w.users[s.Ref].fails = fails
	return nil
}

// machineVerb does something to the machine that has a task, or to some
// machine: TASK|any, seconds.
func (w *World) machineVerb(verb string, args []string) error {
	var found *workerSim
	up := w.up()
	if args[0] == "any" {
		if len(up) > 0 {
			found = up[w.rng.IntN(len(up))]
		}
	} else {
		found = w.hostOf(args[0])
	}
	if found == nil {
		return fmt.Errorf("no such machine")
	}
	d := 10.0
	if len(args) > 1 {
		d, _ = strconv.ParseFloat(args[1], 64)
	}
	w.trouble(verb, found, secs(d))
	return nil
}

// hostOf finds the machine that a task is on.
func (w *World) hostOf(task string) *workerSim {
	var found *workerSim
	w.present(func(k *workerSim, t *taskSim) {
		if wire.TaskName(t.ref, t.task) == task {
			found = k
		}
	})
	return found
}

func (w *World) trouble(verb string, k *workerSim, d time.Duration) {
	w.troubled(d)
	switch verb {
	case "hang":
		k.hung = true
		w.after(d, func() {
			k.hung = false
			k.busy, k.urgent = false, true
			k.tickets++
			k.lease()
		})
	case "deaf": // its reports arrive, but neither answers nor commands reach it
		k.deafTo = w.now + d
	case "mute": // it reaches no controller, while commands to its address arrive
		k.muteTo = w.now + d
	case "reset": // it is back at once and has lost its tasks
		k.forget()
		k.session++
		k.answered, k.busy, k.urgent = w.now, false, true
		k.tickets++
	case "take":
		w.cloud.kill(k.m.Name)
	case "recall":
		k.recallAt, k.urgent = w.now+d, true
		w.after(d, func() { w.cloud.kill(k.m.Name) })
	case "sick":
		k.sick = true
		w.after(d, func() { k.sick = false })
	}
}

func (w *World) up() []*workerSim {
	var up []*workerSim
	for _, name := range sortedKeys(w.workers) {
		if k := w.workers[name]; !k.off {
			up = append(up, k)
		}
	}
	return up
}

// storm brings random troubles until the given time.
func (w *World) storm(until time.Duration) {
	if w.now >= until {
		return
	}
	n := w.rng.IntN(len(w.nodes))
	d := time.Duration(1+w.rng.IntN(40)) * time.Second
	up := w.up()
	pick := func(verb string) {
		if len(up) > 0 {
			w.trouble(verb, up[w.rng.IntN(len(up))], d)
		}
	}
	switch w.rng.IntN(23) {
	case 19:
		pick("mute")
	case 20:
		w.lateWrites, w.lateWritesTo = 0.3, w.now+d
		w.troubled(d + 12*time.Second)
	case 21:
		w.answersLost, w.answersLostTo = 0.3, w.now+d
		w.troubled(d)
	case 22:
		w.cancelNow(3, d, bulkIDs)
	case 18:
		w.Freeze(n, d)
	case 0, 1:
		w.Crash(n, min(d, 10*time.Second))
	case 2:
		w.Crash(n, 200*time.Millisecond)
	case 3:
		w.Outage(min(d, 25*time.Second))
	case 4:
		w.Refuse(n, d)
	case 5:
		for _, z := range w.Zones {
			w.Cut(w.nodes[n].label, "zone:"+z, d, w.rng.IntN(2) == 0)
		}
	case 6:
		if len(w.Zones) > 1 {
			w.Cut("zone:"+w.Zones[0], "zone:"+w.Zones[1], d, w.rng.IntN(2) == 0)
		}
	case 7:
		w.loss, w.late, w.lossTo = 0.2, 0.1, w.now+d
	case 8:
		pick("hang")
	case 9:
		pick("take")
	case 10:
		pick("recall")
	case 11:
		pick("sick")
	case 15:
		pick("deaf")
	case 16:
		pick("reset")
	case 17:
		w.copiesTo, w.copyDelay = w.now+d, 90*time.Second
		w.troubled(d + 90*time.Second)
	case 13:
		w.loss, w.late, w.lossTo = 0.1, 0.3, w.now+d
	case 14:
		w.HangWatch(n, d)
	case 12:
		for i := range w.nodes {
			w.Crash(i, time.Duration(200+w.rng.IntN(6000))*time.Millisecond)
		}
	}
	w.after(time.Duration(2+w.rng.IntN(15))*time.Second, func() { w.storm(until) })
}

// blink ends controllers that are back within a fraction of a second, also in
// an election that the end of the last one has caused.
func (w *World) blink(until time.Duration) {
	if w.now >= until {
		return
	}
	w.Crash(w.rng.IntN(len(w.nodes)), time.Duration(100+w.rng.IntN(400))*time.Millisecond)
	w.after(time.Duration(200+w.rng.IntN(4000))*time.Millisecond, func() { w.blink(until) })
}

// expect checks "JOB WHAT..." or something about the world as a whole.
func (w *World) expect(args []string) error {
	if what, known, err := w.expectWorld(args[0]); known {
		if err != nil {
			return fmt.Errorf("want %s: %w", what, err)
		}
		return nil
	}
	u := w.users[args[0]]
	if u == nil {
		return fmt.Errorf("no such job")
	}
	for _, what := range args[1:] {
		if err := w.expectOne(u, what); err != nil {
			return err
		}
	}
	return nil
}

// expectWorld checks machines<=N, machines>=N, returned<=N and waiting<=N machines, leaders<=N, claims<=N of parts, sick=0, deaf=0,
// owner=PART:CONTROLLER|CONTROLLER, and what was counted since "meter":
// admitted<=N and >=N tasks that owners have admitted, shares<=N that are dealt,
// refused<=N commits, looks_per_report<=N at machines by all controllers, and
// bytes_per_s<=N between controllers; more_keys<=N and >=N further keys of records;
// late_starts<=N counts starts that workers
// carried out after the user was told that the job is withdrawn.
func (w *World) expectWorld(what string) (string, bool, error) {
	holds, got := false, any(nil)
	if k, v, ok := strings.Cut(what, "<="); ok {
		limit, _ := strconv.Atoi(v)
		seconds := max(1, int((w.now - w.meter.since).Seconds()))
		count := map[string]int{
			"machines": len(w.up()), "returned": w.cloud.returns, "waiting": w.cloud.booting(), "leaders": w.store.leaders, "claims": w.store.claims, "refused": w.meter.refused,
			"looks_per_report": int(w.work()-w.meter.work) / max(1, w.meter.reports),
			"bytes_per_s":      w.meter.bytes / seconds,
			"late_starts":      w.lateStarts,
			"more_keys":        w.store.moreKeys(),
			"admitted":         w.accounting.admissions,
			"shares":           w.accounting.openShares(),
		}
		n, known := count[k]
		if !known {
			return what, false, nil
		}
		holds, got = n <= limit, n
	} else if v, ok := strings.CutPrefix(what, "more_keys>="); ok {
		limit, _ := strconv.Atoi(v)
		holds, got = w.store.moreKeys() >= limit, w.store.moreKeys()
	} else if v, ok := strings.CutPrefix(what, "admitted>="); ok {
		limit, _ := strconv.Atoi(v)
		holds, got = w.accounting.admissions >= limit, w.accounting.admissions
	} else if v, ok := strings.CutPrefix(what, "machines>="); ok {
		limit, _ := strconv.Atoi(v)
		holds, got = len(w.up()) >= limit, len(w.up())
	} else if v, ok := strings.CutPrefix(what, "owner="); ok {
		part, owner, _ := strings.Cut(v, ":")
		holds, got = slices.Contains(strings.Split(owner, "|"), w.owner(part)), w.owner(part)
	} else if what == "deaf=0" {
		deaf := 0
		for _, k := range w.up() {
			if k.deafTo > w.now {
				deaf++
			}
		}
		holds, got = deaf == 0, deaf
	} else if what == "sick=0" {
		sick := 0
		for _, k := range w.up() {
			if k.sick {
				sick++
			}
		}
		holds, got = sick == 0, sick
	} else {
		return what, false, nil
	}
	if !holds {
		return what, true, fmt.Errorf("got %v", got)
	}
	return what, true, nil
}

// owner names the controller whose claim of a part stands.
func (w *World) owner(part string) string {
	k := w.store.keys[wire.PartKey(part)]
	if k == nil {
		return ""
	}
	return decode(wire.PartKey(part), k.raw).(*wire.Part).Owner
}

func (w *World) expectOne(u *userSim, what string) error {
	count := 0
	zones, hosts := map[string]bool{}, map[string]bool{}
	w.present(func(k *workerSim, t *taskSim) {
		if t.u == u {
			zones[k.m.Zone], hosts[k.m.Name] = true, true
			if t.state == wire.TaskRunning {
				count++
			}
		}
	})
	number := func(v string) int {
		x, _ := strconv.Atoi(v)
		return x
	}
	bad := func(got any) error { return fmt.Errorf("want %s, got %v", what, got) }
	if k, v, ok := strings.Cut(what, "<="); ok {
		if k == "starts" && w.Starts[u.spec.Ref] > number(v) {
			return bad(w.Starts[u.spec.Ref])
		}
		if k == "begun" && (u.begun == 0 || u.begun > secs(float64(number(v)))) {
			return bad(u.begun)
		}
		return nil
	}
	k, v, pair := strings.Cut(what, "=")
	switch {
	case pair && k == "running":
		if count != number(v) {
			return bad(count)
		}
	case pair && k == "zones":
		if len(zones) != number(v) {
			return bad(len(zones))
		}
	case pair && k == "hosts":
		if len(hosts) != number(v) {
			return bad(len(hosts))
		}
	case pair && k == "code":
		if len(u.codes) == 0 || u.codes[len(u.codes)-1] != number(v) {
			return bad(u.codes)
		}
	case pair:
		return fmt.Errorf("unknown expectation")
	default:
		if u.status.Status != what {
			return bad(u.status.Status)
		}
	}
	return nil
}
