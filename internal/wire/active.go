package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Active is a task that has been granted to a part and, once Host is set,
// placed on a machine. It charges its team until it is removed, and it is
// removed only on proof that the task is gone.
type Active struct {
	Task    int
	Attempt uint64
	Part    int
	Host    string
	Session uint64
	Stop    int
}

// Actives are the active tasks of a job. Neighbours that differ in their number
// only are encoded as one run, a list with their count at its end: an array of
// many small tasks has a dozen of them on each machine, and only so do as many
// as its machines can run fit a value.
type Actives []Active

// follows tells whether b continues the run that a ends.
func (b *Active) follows(a *Active) bool {
	return b.Task == a.Task+1 && b.Attempt == a.Attempt && b.Part == a.Part && b.Host == a.Host && b.Session == a.Session && b.Stop == a.Stop
}

// Run gives the bounds of the run that an entry belongs to.
func (l Actives) Run(at int) (from, to int) {
	from, to = at, at+1
	for from > 0 && l[from].follows(&l[from-1]) {
		from--
	}
	for to < len(l) && l[to].follows(&l[to-1]) {
		to++
	}
	return from, to
}

// runFields is the length of a run's list.
const runFields = 7

// EncodeMsgpack writes the runs.
func (l Actives) EncodeMsgpack(e *msgpack.Encoder) error {
	runs := 0
	for at := 0; at < len(l); runs++ {
		_, at = l.Run(at)
	}
	if err := e.EncodeArrayLen(runs); err != nil {
		return fmt.Errorf("active tasks: %w", err)
	}
	for at := 0; at < len(l); {
		a := &l[at]
		_, to := l.Run(at)
		if err := e.EncodeArrayLen(runFields); err != nil {
			return fmt.Errorf("active tasks: %w", err)
		}
		if err := e.EncodeMulti(a.Task, a.Attempt, a.Part, a.Host, a.Session, a.Stop, to-at); err != nil {
			return fmt.Errorf("active tasks: %w", err)
		}
		at = to
	}
	return nil
}

// DecodeMsgpack reads runs, and the single entries of earlier versions.
func (l *Actives) DecodeMsgpack(d *msgpack.Decoder) error {
	runs, err := d.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("active tasks: %w", err)
	}
	*l = nil
	for range runs {
		fields, err := d.DecodeArrayLen()
		if err != nil {
			return fmt.Errorf("active tasks: %w", err)
		}
		var a Active
		count := 1
		into := []any{&a.Task, &a.Attempt, &a.Part, &a.Host, &a.Session, &a.Stop, &count}
		if fields < runFields-1 || fields > runFields {
			return fmt.Errorf("active tasks: an entry of %d fields", fields)
		}
		if err := d.DecodeMulti(into[:fields]...); err != nil {
			return fmt.Errorf("active tasks: %w", err)
		}
		if count < 1 || count > MaxFrames {
			return fmt.Errorf("active tasks: a run of %d", count)
		}
		for range count {
			*l = append(*l, a)
			a.Task++
		}
	}
	return nil
}
