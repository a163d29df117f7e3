package wire

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Keys of the state service. All share one prefix, so that one watch sees
// every change in order.
const (
	Prefix        = "m/"
	JobPrefix     = "m/j/"
	ShardPrefix   = "m/p/"
	GangPrefix    = "m/g/"
	MailboxPrefix = "m/r/"
	ImagePrefix   = "m/i/"
	// Since format 2:
	OverflowPrefix = "m/x/"
	FormatPrefix   = "m/f/"
	// Since format 3:
	DependencyListPrefix = "m/n/"
	// Since format 4:
	AccountPrefix = "m/q/"
	// Since format 5:
	TakeoversKey = "m/takeovers"

	LeaderKey       = "m/leader"
	MachineTypesKey = "m/types"
)

// Formats of the records. What a format adds is written only once every controller
// reads it: see "Two versions side by side" in docs/design.md.
const (
	FormatDependencies    = 2 // jobs that wait on others; overflow keys for active tasks
	FormatDependencyLists = 3 // overflow keys for the jobs that a job waits on
	FormatTeamAccounts    = 4 // accounts of teams, and tasks that owners have admitted
	FormatEarlyFailover   = 5 // leaders that may be replaced before their lease ends, heartbeats, takeovers
	Format                = FormatEarlyFailover
)

// Record is a value that the controllers keep in the state service: one of the types
// that DecodeRecord gives, by pointer.
type Record interface{ record() }

func (*Job) record()              {}
func (*Overflow) record()         {}
func (*DependencyList) record()   {}
func (*Shard) record()            {}
func (*Leader) record()           {}
func (*Gang) record()             {}
func (*ImageCache) record()       {}
func (*MachineTypeCache) record() {}
func (*Gossip) record()           {}
func (*SupportedFormat) record()  {}
func (*Account) record()          {}
func (*Takeovers) record()        {}

// JobState is the state of a job's record.
type JobState int

// States of a job's record; the last two are final.
const (
	JobLive      JobState = 0
	JobDone      JobState = 1
	JobCancelled JobState = 2
)

// StopRequest says whether an active task is to go on.
type StopRequest int

// Stop marks of an active task.
const (
	StopNone    StopRequest = 0
	StopPreempt StopRequest = 1 // save, then exit
	StopAbandon StopRequest = 2 // exit at once; the attempt is lost
)

// Job is the record of one job, the sole truth about it.
type Job struct {
	Spec              *JobSpec    `msgpack:"s,omitempty"`
	State             JobState    `msgpack:"st"`
	TaskCount         int         `msgpack:"n"`
	AcceptedAtMS      int64       `msgpack:"at"`           // wall-clock ms when accepted; orders queues only
	NextAttempt       uint64      `msgpack:"nx"`           // next attempt number; never goes back
	DoneTasks         TaskSet     `msgpack:"dn,omitempty"` // tasks that are done
	ActiveTasks       ActiveTasks `msgpack:"ac,omitempty"`
	ConsecutiveErrors int         `msgpack:"er,omitempty"` // errors in a row, for back-off
	FailedMachines    []string    `msgpack:"av,omitempty"` // the last machines it failed on
	OverflowKeys      int         `msgpack:"mo,omitempty"` // overflow keys that hold active tasks, from 1 on; format 2

	// Where the record has no room for the jobs that it waits on, they stand in
	// overflow keys, which are complete before the record is written and never change.
	DependencyList     string `msgpack:"nl,omitempty"` // the name of the list in their keys; format 3
	DependencyListKeys int    `msgpack:"nk,omitempty"` // how many keys, from 1 on; format 3
}

// HasDependencies tells whether the job was submitted to wait on others.
func (j *Job) HasDependencies() bool {
	return j.DependencyList != "" || j.Spec != nil && len(j.Spec.Dependencies) > 0
}

// DependencyList is a part of a list of jobs that a job waits on.
type DependencyList struct {
	JobIDs []string `msgpack:"w"`
}

// Overflow continues the active tasks of a job where one value is too small. A
// change of it changes the job's own record too, in the same transaction, so that
// the revision of that one stands for all.
type Overflow struct {
	ActiveTasks ActiveTasks `msgpack:"ac"`
}

// SupportedFormat says which format a controller reads. It is left for good.
type SupportedFormat struct {
	Format int `msgpack:"v"`
}

// Shard is the claim of a shard. Its term is the revision of the claim.
type Shard struct {
	Owner       string `msgpack:"o"`
	Incarnation string `msgpack:"b"` // the claiming process, told apart from its earlier incarnations
}

// Leader is the claim of leadership. Its term is the revision of the claim.
type Leader struct {
	Controller  string `msgpack:"o"`
	Incarnation string `msgpack:"b"`
	// Fenced says that this leader calls the cloud only on proofs of this claim, so that
	// it may be replaced before its lease ends; format 5.
	Fenced bool `msgpack:"f,omitempty"`
	// Streak counts the claims, this one included, that each replaced a live leader soon
	// after the last; 0 for a claim that waited for the lease; format 5.
	Streak int `msgpack:"n,omitempty"`
}

// GangState is the state of a gang's record.
type GangState int

// States of a gang's record.
const (
	GangTrying    GangState = 0
	GangConfirmed GangState = 1
	GangDropped   GangState = 2
)

// Gang is the record of one attempt of a gang that spans shards.
type Gang struct {
	Attempt uint64    `msgpack:"t"`
	State   GangState `msgpack:"st"`
	Shards  []int     `msgpack:"p"`
}

// ImageCache says which machines of a controller's shards have which images, so
// that the knowledge outlives the process.
type ImageCache struct {
	Names    []string         `msgpack:"n"` // of the images
	Machines map[string][]int `msgpack:"h"` // places in Names
}

// MachineTypeCache caches the machine types, for processes that start while the cloud
// is in trouble.
type MachineTypeCache struct {
	Types []MachineType `msgpack:"r"`
}

// JobKey is the key of a job's record.
func JobKey(ref string) string { return JobPrefix + ref }

// ShardKey is the key of a shard's claim.
func ShardKey(name string) string { return ShardPrefix + name }

// OverflowKey is the key of a job's overflow tasks.
func OverflowKey(ref string, k int) string {
	return OverflowPrefix + ref + "/" + strconv.Itoa(k)
}

// SplitOverflowKey is the reverse of MoreKey.
func SplitOverflowKey(key string) (ref string, k int) {
	ref, num, _ := strings.Cut(strings.TrimPrefix(key, OverflowPrefix), "/")
	k, err := strconv.Atoi(num)
	if err != nil {
		return ref, 0
	}
	return ref, k
}

// DependencyListKey is the key of a part of a list of jobs that a job waits on.
func DependencyListKey(ref, list string, part int) string {
	return DependencyListPrefix + ref + "/" + list + "/" + strconv.Itoa(part)
}

// DependencyListJob is the job that a key made by DependencyListKey belongs to.
func DependencyListJob(key string) string {
	ref, _, _ := strings.Cut(strings.TrimPrefix(key, DependencyListPrefix), "/")
	return ref
}

// GangKey is the key of a gang attempt's record.
func GangKey(ref string, attempt uint64) string {
	return GangPrefix + ref + "/" + strconv.FormatUint(attempt, 10)
}

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidJobID tells whether s has the form of a job id.
func ValidJobID(s string) bool { return jobIDPattern.MatchString(s) }

// TaskName joins a job id and a task number.
func TaskName(ref string, task int) string { return ref + "/" + strconv.Itoa(task) }

// SplitTaskName is the reverse of TaskName.
func SplitTaskName(s string) (ref string, task int, err error) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, fmt.Errorf("task %q has no number", s)
	}
	task, err = strconv.Atoi(s[i+1:])
	if err != nil || task < 0 {
		return "", 0, fmt.Errorf("task %q has a bad number", s)
	}
	return s[:i], task, nil
}

// Encode writes v as MessagePack.
func Encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return b, nil
}

// Decode reads MessagePack into v; fields that v lacks are ignored.
func Decode(b []byte, v any) error {
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// JSONSize is a value's size in the form in which the state service measures it.
func JSONSize(v any) (int, error) {
	b, err := Encode(v)
	if err != nil {
		return 0, err
	}
	var any_ any
	if err := Decode(b, &any_); err != nil {
		return 0, err
	}
	text, err := json.Marshal(any_)
	if err != nil {
		return 0, fmt.Errorf("size: %w", err)
	}
	return len(text), nil
}

// DecodeRecord reads a record by the kind of its key. It gives nil for a key
// that is not ours.
func DecodeRecord(key string, raw []byte) (Record, error) {
	var v Record
	switch {
	case strings.HasPrefix(key, JobPrefix):
		v = new(Job)
	case strings.HasPrefix(key, ShardPrefix):
		v = new(Shard)
	case strings.HasPrefix(key, GangPrefix):
		v = new(Gang)
	case strings.HasPrefix(key, MailboxPrefix):
		v = new(Gossip)
	case strings.HasPrefix(key, ImagePrefix):
		v = new(ImageCache)
	case strings.HasPrefix(key, OverflowPrefix):
		v = new(Overflow)
	case strings.HasPrefix(key, FormatPrefix):
		v = new(SupportedFormat)
	case strings.HasPrefix(key, DependencyListPrefix):
		v = new(DependencyList)
	case strings.HasPrefix(key, AccountPrefix):
		return decodeAccount(raw), nil
	case key == LeaderKey:
		v = new(Leader)
	case key == TakeoversKey:
		v = new(Takeovers)
	case key == MachineTypesKey:
		v = new(MachineTypeCache)
	default:
		return nil, nil
	}
	if err := Decode(raw, v); err != nil {
		return nil, err
	}
	return v, nil
}
