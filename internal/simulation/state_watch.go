package simulation

import (
	"time"

	"micaport/internal/core"
	"micaport/internal/kv"
)

// watchNotStarted is the position of a watch that has not delivered the snapshot yet.
const watchNotStarted = -1

// Timing of watches.
const (
	snapshotRetry       = 200 * time.Millisecond // until a refused snapshot is requested again
	longestWatchDelayMS = 40                     // in addition to the latency
)

// sendSnapshot delivers all records to an incarnation of a controller that starts. The
// controller's watch then delivers the changes made after the snapshot.
func (s *stateService) sendSnapshot(ctrl *controller, incarnation int) {
	sim := s.sim
	s.watchPositions[ctrl.label] = watchNotStarted
	sim.after(sim.network.drawLatency(), func() {
		if !ctrl.isRunning(incarnation) {
			return
		}
		if s.refuses(ctrl) {
			sim.after(snapshotRetry, func() {
				if ctrl.isRunning(incarnation) {
					s.sendSnapshot(ctrl, incarnation)
				}
			})
			return
		}
		snapshot := core.RecordsChanged{Reset: true, Revision: s.revision}
		for _, key := range sortedKeys(s.records) {
			record := s.records[key]
			snapshot.Events = append(snapshot.Events, kv.Event{
				Key:      key,
				Revision: record.revision,
				Value:    mustDecodeRecord(key, record.raw),
			})
		}
		s.watchPositions[ctrl.label] = len(s.changes)
		ctrl.step(snapshot)
	})
}

// notifyWatches schedules the delivery of new changes to each controller.
func (s *stateService) notifyWatches() {
	sim := s.sim
	for _, ctrl := range sim.controllers {
		incarnation := ctrl.incarnation
		sim.after(sim.network.drawLatency()+time.Duration(sim.rng.IntN(longestWatchDelayMS))*time.Millisecond, func() {
			if ctrl.isRunning(incarnation) && !s.refuses(ctrl) && s.watchFaults[ctrl.label] == 0 {
				s.deliverChanges(ctrl)
			}
		})
	}
}

// deliverChanges delivers, in order, the changes that a controller has not received yet.
func (s *stateService) deliverChanges(ctrl *controller) {
	position := s.watchPositions[ctrl.label]
	if position == watchNotStarted || position >= len(s.changes) {
		return
	}
	changed := core.RecordsChanged{Revision: s.changes[len(s.changes)-1].revision}
	for _, change := range s.changes[position:] {
		event := kv.Event{Key: change.key, Revision: change.revision}
		if change.raw != nil {
			event.Value = mustDecodeRecord(change.key, change.raw)
		}
		changed.Events = append(changed.Events, event)
	}
	s.watchPositions[ctrl.label] = len(s.changes)
	ctrl.step(changed)
}
