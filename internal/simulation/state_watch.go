package simulation

import (
	"time"

	"micaport/internal/core"
)

// watchNotStarted is the position of a watch that has not delivered its snapshot yet.
const watchNotStarted = -1

// Timing of watches.
const (
	snapshotRetry     = 200 * time.Millisecond
	longestWatchDelay = 40 // milliseconds, beyond the latency
)

// sendSnapshot delivers all records to an incarnation of a controller that starts, and lets
// its watch go on from there.
func (store *stateService) sendSnapshot(ctrl *controller, incarnation int) {
	sim := store.sim
	store.watchPositions[ctrl.label] = watchNotStarted
	sim.after(sim.network.latency(), func() {
		if !ctrl.isRunning(incarnation) {
			return
		}
		if store.refuses(ctrl) {
			sim.after(snapshotRetry, func() {
				if ctrl.isRunning(incarnation) {
					store.sendSnapshot(ctrl, incarnation)
				}
			})
			return
		}
		snapshot := core.RecordsChanged{Reset: true, Revision: store.revision}
		for _, key := range sortedKeys(store.records) {
			record := store.records[key]
			snapshot.Events = append(snapshot.Events, core.Event{Key: key, Revision: record.revision, Value: mustDecodeRecord(key, record.raw)})
		}
		store.watchPositions[ctrl.label] = len(store.changes)
		ctrl.step(snapshot)
	})
}

// notifyWatches delivers to each controller the changes that it has not seen, in order.
func (store *stateService) notifyWatches() {
	sim := store.sim
	for _, ctrl := range sim.controllers {
		incarnation := ctrl.incarnation
		sim.after(sim.network.latency()+time.Duration(sim.rng.IntN(longestWatchDelay))*time.Millisecond, func() {
			if ctrl.isRunning(incarnation) && !store.refuses(ctrl) && store.hungWatches[ctrl.label] == 0 {
				store.deliverChanges(ctrl)
			}
		})
	}
}

// deliverChanges delivers the changes that a controller has not seen, if there are any.
func (store *stateService) deliverChanges(ctrl *controller) {
	position := store.watchPositions[ctrl.label]
	if position == watchNotStarted || position >= len(store.changes) {
		return
	}
	changed := core.RecordsChanged{Revision: store.changes[len(store.changes)-1].revision}
	for _, change := range store.changes[position:] {
		event := core.Event{Key: change.key, Revision: change.revision}
		if change.raw != nil {
			event.Value = mustDecodeRecord(change.key, change.raw)
		}
		changed.Events = append(changed.Events, event)
	}
	store.watchPositions[ctrl.label] = len(store.changes)
	ctrl.step(changed)
}
