package simulation

import (
	"container/heap"
	"time"
)

// eventLoop is the clock and the event queue of a simulation. Events scheduled for the same
// time run in the order in which they were scheduled.
type eventLoop struct {
	now          time.Duration // time since the start of the simulation
	queue        eventQueue
	lastSequence int
}

// after schedules a function to run once, after d.
func (l *eventLoop) after(d time.Duration, run func()) {
	l.lastSequence++
	heap.Push(&l.queue, scheduledEvent{l.now + d, l.lastSequence, run})
}

// every schedules a function to run repeatedly at intervals of d, first after d.
func (l *eventLoop) every(d time.Duration, run func()) {
	l.after(d, func() { run(); l.every(d, run) })
}

// runUntil runs the events that are due up to the given time. It calls stopped before each
// event, and runs no more events once stopped returns true. In both cases it finally advances
// the clock to the given time.
func (l *eventLoop) runUntil(until time.Duration, stopped func() bool) {
	for len(l.queue) > 0 && l.queue[0].at <= until && !stopped() {
		event := heap.Pop(&l.queue).(scheduledEvent)
		l.now = event.at
		event.run()
	}
	l.now = max(l.now, until)
}

// scheduledEvent is a function and the time at which it runs.
type scheduledEvent struct {
	at       time.Duration
	sequence int // orders events of the same time
	run      func()
}

// eventQueue is a heap of events, ordered by time and sequence.
type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].sequence < q[k].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
