package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Active tasks are encoded as an array of groups, each of which is an array of four elements:
//
//	[shard, epoch, flags, [task, attempt, machine, count,  task, attempt, machine, count, ...]]
//
// The tasks of a group have the same shard, epoch and flags. The flags are the StopRequest, plus
// admittedFlag if the tasks are admitted. The last element lists the group's runs, four values
// each: the first task number, the attempt, the machine and the number of tasks. Groups are in the
// order in which their first tasks occur, and so are the runs of a group.
//
// A job with many small tasks has about a dozen consecutive ones on each machine. Encoding them as
// runs lets as many tasks as its machines can run fit into one value of the state service.

const (
	groupFields = 4 // elements of an encoded group
	runFields   = 4 // values of an encoded run
	// admittedFlag is set in the flags of a group of admitted tasks. Format 4.
	admittedFlag = 4
)

// flags returns the encoded flags of a group: its stop request and whether it is admitted.
func (g taskGroup) flags() int {
	if g.admitted {
		return int(g.stop) | admittedFlag
	}
	return int(g.stop)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l ActiveTasks) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if err := l.encode(encoder); err != nil {
		return fmt.Errorf("active tasks: %w", err)
	}
	return nil
}

// encode writes the groups in the order in which their first tasks occur.
func (l ActiveTasks) encode(encoder *msgpack.Encoder) error {
	var groups []taskGroup
	runs := map[taskGroup][]any{}
	for at := 0; at < len(l); {
		first, group := &l[at], l[at].group()
		_, end := l.Run(at)
		if runs[group] == nil {
			groups = append(groups, group)
		}
		runs[group] = append(runs[group], first.Task, first.Attempt, first.Machine, end-at)
		at = end
	}
	if err := encoder.EncodeArrayLen(len(groups)); err != nil {
		return err
	}
	for _, group := range groups {
		if err := group.encode(encoder, runs[group]); err != nil {
			return err
		}
	}
	return nil
}

// encode writes a group with the values of its encoded runs.
func (g taskGroup) encode(encoder *msgpack.Encoder, runs []any) error {
	if err := encoder.EncodeArrayLen(groupFields); err != nil {
		return err
	}
	if err := encoder.EncodeMulti(g.shard, g.epoch, g.flags()); err != nil {
		return err
	}
	if err := encoder.EncodeArrayLen(len(runs)); err != nil {
		return err
	}
	return encoder.EncodeMulti(runs...)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *ActiveTasks) DecodeMsgpack(decoder *msgpack.Decoder) error {
	*l = nil
	groups, err := decoder.DecodeArrayLen()
	for i := 0; i < groups && err == nil; i++ {
		err = l.decodeGroup(decoder)
	}
	if err != nil {
		return fmt.Errorf("active tasks: %w", err)
	}
	return nil
}

// decodeGroup appends the tasks of an encoded group.
func (l *ActiveTasks) decodeGroup(decoder *msgpack.Decoder) error {
	if _, err := decoder.DecodeArrayLen(); err != nil {
		return err
	}
	var task ActiveTask
	flags := 0
	if err := decoder.DecodeMulti(&task.Shard, &task.Epoch, &flags); err != nil {
		return err
	}
	task.Admitted, task.Stop = flags&admittedFlag != 0, StopRequest(flags&^admittedFlag)
	values, err := decoder.DecodeArrayLen()
	for at := 0; at < values && err == nil; at += runFields {
		err = l.decodeRun(decoder, task)
	}
	return err
}

// decodeRun appends the tasks of an encoded run. The argument task has the fields of the run's
// group.
func (l *ActiveTasks) decodeRun(decoder *msgpack.Decoder, task ActiveTask) error {
	count := 0
	if err := decoder.DecodeMulti(&task.Task, &task.Attempt, &task.Machine, &count); err != nil {
		return err
	}
	if count < 1 || count > MaxTasks-len(*l) {
		return fmt.Errorf("run of %d tasks after %d others, want 1 to %d in all", count, len(*l), MaxTasks)
	}
	for range count {
		*l = append(*l, task)
		task.Task++
	}
	return nil
}
