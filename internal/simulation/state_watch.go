package simulation

import (
	"time"

	"micaport/internal/core"
)

// sendSnapshot gives a starting controller all there is, then lets its watch go on.
func (store *stateService) sendSnapshot(ctrl *controller, incarnation int) {
	store.watchPositions[ctrl.label] = -1
	store.sim.after(store.sim.network.latency(), func() {
		if ctrl.incarnation != incarnation || !ctrl.running {
			return
		}
		if store.refuses(ctrl) {
			store.sim.after(200*time.Millisecond, func() {
				if ctrl.incarnation == incarnation && ctrl.running {
					store.sendSnapshot(ctrl, incarnation)
				}
			})
			return
		}
		c := core.RecordsChanged{Reset: true, Revision: store.revision}
		for _, k := range sortedKeys(store.records) {
			record := store.records[k]
			c.Events = append(c.Events, core.Event{Key: k, Revision: record.revision, Value: mustDecodeRecord(k, record.raw)})
		}
		store.watchPositions[ctrl.label] = len(store.changes)
		ctrl.step(c)
	})
}

// notifyWatches sends each watch what it has not seen, in order.
func (store *stateService) notifyWatches() {
	for _, ctrl := range store.sim.controllers {
		incarnation := ctrl.incarnation
		store.sim.after(store.sim.network.latency()+time.Duration(store.sim.rng.IntN(40))*time.Millisecond, func() {
			at := store.watchPositions[ctrl.label]
			if ctrl.incarnation != incarnation || !ctrl.running || store.refuses(ctrl) || store.hungWatches[ctrl.label] > 0 || at < 0 || at >= len(store.changes) {
				return
			}
			c := core.RecordsChanged{Revision: store.changes[len(store.changes)-1].revision}
			for _, x := range store.changes[at:] {
				e := core.Event{Key: x.key, Revision: x.revision}
				if x.raw != nil {
					e.Value = mustDecodeRecord(x.key, x.raw)
				}
				c.Events = append(c.Events, e)
			}
			store.watchPositions[ctrl.label] = len(store.changes)
			ctrl.step(c)
		})
	}
}
