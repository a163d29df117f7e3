package simulation

import (
	"time"

	"micaport/internal/wire"
)

// machineNamed finds the machine that a task is on.
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

// randomTrouble is one of the troubles of a storm: to a controller, for a while.
type randomTrouble func(w *World, controller int, d time.Duration)

// ofSomeMachine is a trouble of a machine chosen at random.
func ofSomeMachine(trouble string) randomTrouble {
	return func(w *World, _ int, d time.Duration) {
		if up := w.up(); len(up) > 0 {
			w.trouble(trouble, up[w.rng.IntN(len(up))], d)
		}
	}
}

// stormTroubles are drawn evenly; some stand there twice. Their places are those that the
// seeds of scenarios have always drawn.
var stormTroubles = []randomTrouble{
	0: crashForSeconds, 1: crashForSeconds,
	2: func(w *World, n int, _ time.Duration) { w.Crash(n, 200*time.Millisecond) },
	3: func(w *World, _ int, d time.Duration) { w.Outage(min(d, 25*time.Second)) },
	4: (*World).Refuse,
	5: func(w *World, n int, d time.Duration) {
		for _, z := range w.Zones {
			w.Cut(w.nodes[n].label, "zone:"+z, d, w.rng.IntN(2) == 0)
		}
	},
	6: func(w *World, _ int, d time.Duration) {
		if len(w.Zones) > 1 {
			w.Cut("zone:"+w.Zones[0], "zone:"+w.Zones[1], d, w.rng.IntN(2) == 0)
		}
	},
	7: func(w *World, _ int, d time.Duration) { w.loss, w.late, w.lossTo = 0.2, 0.1, w.now+d },
	8: ofSomeMachine("hang"), 9: ofSomeMachine("take"), 10: ofSomeMachine("recall"), 11: ofSomeMachine("sick"),
	12: func(w *World, _ int, _ time.Duration) {
		for i := range w.nodes {
			w.Crash(i, time.Duration(200+w.rng.IntN(6000))*time.Millisecond)
		}
	},
	13: func(w *World, _ int, d time.Duration) { w.loss, w.late, w.lossTo = 0.1, 0.3, w.now+d },
	14: (*World).HangWatch,
	15: ofSomeMachine("deaf"), 16: ofSomeMachine("reset"),
	17: func(w *World, _ int, d time.Duration) {
		w.copiesTo, w.copyDelay = w.now+d, 90*time.Second
		w.troubled(d + 90*time.Second)
	},
	18: (*World).Freeze,
	19: ofSomeMachine("mute"),
	20: func(w *World, _ int, d time.Duration) {
		w.lateWrites, w.lateWritesTo = 0.3, w.now+d
		w.troubled(d + 12*time.Second)
	},
	21: func(w *World, _ int, d time.Duration) {
		w.answersLost, w.answersLostTo = 0.3, w.now+d
		w.troubled(d)
	},
	22: func(w *World, _ int, d time.Duration) { w.cancelNow(3, d, bulkIDs) },
}

func crashForSeconds(w *World, n int, d time.Duration) { w.Crash(n, min(d, 10*time.Second)) }

// storm brings random troubles until the given time.
func (w *World) storm(until time.Duration) {
	if w.now >= until {
		return
	}
	n := w.rng.IntN(len(w.nodes))
	d := time.Duration(1+w.rng.IntN(40)) * time.Second
	stormTroubles[w.rng.IntN(len(stormTroubles))](w, n, d)
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
