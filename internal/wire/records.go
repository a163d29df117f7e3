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
	PartPrefix    = "m/p/"
	GangPrefix    = "m/g/"
	MailboxPrefix = "m/r/"
	ImagePrefix   = "m/i/"
	// Since format 2:
	ContinuationPrefix = "m/x/"
	FormatPrefix       = "m/f/"
	// Since format 3:
	NeedsPrefix = "m/n/"
	// Since format 4:
	AccountPrefix = "m/q/"
	// Since format 5:
	TakeoversKey = "m/takeovers"

	LeaderKey = "m/leader"
	TypesKey  = "m/types"
)

// Formats of the records. What a format adds is written only once every controller
// reads it: see "Two versions side by side" in docs/design.md.
const (
	FormatChains    = 2 // jobs that wait on others; further keys for active tasks
	FormatLongNeeds = 3 // further keys for the jobs that a job waits on
	FormatAccounts  = 4 // accounts of teams, and tasks that owners have admitted
	FormatStandby   = 5 // leaders that may be replaced before their lease ends, heartbeats, takeovers
	Format          = FormatStandby
)

// Record is a value that the controllers keep in the state service: one of the types
// that DecodeRecord gives, by pointer.
type Record interface{ record() }

func (*Job) record()             {}
func (*Continuation) record()    {}
func (*Needs) record()           {}
func (*Part) record()            {}
func (*Leader) record()          {}
func (*Gang) record()            {}
func (*Images) record()          {}
func (*Types) record()           {}
func (*Gossip) record()          {}
func (*SupportedFormat) record() {}
func (*Account) record()         {}
func (*Takeovers) record()       {}

// JobState is the state of a job's record.
type JobState int

// States of a job's record; the last two are final.
const (
	Live      JobState = 0
	Done      JobState = 1
	Withdrawn JobState = 2
)

// StopMark says whether an active task is to go on.
type StopMark int

// Stop marks of an active task.
const (
	Keep    StopMark = 0
	Preempt StopMark = 1 // save, then exit
	Abandon StopMark = 2 // exit at once; the attempt is lost
)

// Job is the record of one job, the sole truth about it.
type Job struct {
	Spec          *Spec    `msgpack:"s,omitempty"`
	State         JobState `msgpack:"st"`
	Frames        int      `msgpack:"n"`
	At            int64    `msgpack:"at"`           // wall-clock ms when accepted; orders queues only
	Next          uint64   `msgpack:"nx"`           // next attempt number; never goes back
	DoneSet       TaskSet  `msgpack:"dn,omitempty"` // tasks that are done
	Active        Actives  `msgpack:"ac,omitempty"`
	Errors        int      `msgpack:"er,omitempty"` // errors in a row, for back-off
	Avoid         []string `msgpack:"av,omitempty"` // the last machines it failed on
	Continuations int      `msgpack:"mo,omitempty"` // further keys that hold active tasks, from 1 on; format 2

	// Where the record has no room for the jobs that it waits on, they stand in
	// further keys, which are complete before the record is written and never change.
	NeedsList string `msgpack:"nl,omitempty"` // the name of the list in their keys; format 3
	NeedsKeys int    `msgpack:"nk,omitempty"` // how many keys, from 1 on; format 3
}

// Waits tells whether the job was submitted to wait on others.
func (j *Job) Waits() bool {
	return j.NeedsList != "" || j.Spec != nil && len(j.Spec.WaitsOn) > 0
}

// Needs is a part of a list of jobs that a job waits on.
type Needs struct {
	Refs []string `msgpack:"w"`
}

// Continuation continues the active tasks of a job where one value is too small. A
// change of it changes the job's own record too, in the same transaction, so that
// the revision of that one stands for all.
type Continuation struct {
	Active Actives `msgpack:"ac"`
}

// SupportedFormat says which format a controller reads. It is left for good.
type SupportedFormat struct {
	Format int `msgpack:"v"`
}

// Part is the claim of a part. Its term is the revision of the claim.
type Part struct {
	Owner string `msgpack:"o"`
	Life  string `msgpack:"b"` // the claiming process, told apart from its earlier lives
}

// Leader is the claim of leadership. Its term is the revision of the claim.
type Leader struct {
	Node string `msgpack:"o"`
	Life string `msgpack:"b"`
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

// Gang is the record of one attempt of a gang that spans parts.
type Gang struct {
	Attempt uint64    `msgpack:"t"`
	State   GangState `msgpack:"st"`
	Parts   []int     `msgpack:"p"`
}

// Images says which machines of a controller's parts have which images, so
// that the knowledge outlives the process.
type Images struct {
	Names []string         `msgpack:"n"` // of the images
	Hosts map[string][]int `msgpack:"h"` // places in Names
}

// Types caches the machine types, for processes that start while the cloud
// is in trouble.
type Types struct {
	Rigs []Flavor `msgpack:"r"`
}

// JobKey is the key of a job's record.
func JobKey(ref string) string { return JobPrefix + ref }

// PartKey is the key of a part's claim.
func PartKey(name string) string { return PartPrefix + name }

// ContinuationKey is the key of a job's further active tasks.
func ContinuationKey(ref string, k int) string {
	return ContinuationPrefix + ref + "/" + strconv.Itoa(k)
}

// SplitContinuation is the reverse of MoreKey.
func SplitContinuation(key string) (ref string, k int) {
	ref, num, _ := strings.Cut(strings.TrimPrefix(key, ContinuationPrefix), "/")
	k, err := strconv.Atoi(num)
	if err != nil {
		return ref, 0
	}
	return ref, k
}

// NeedsKey is the key of a part of a list of jobs that a job waits on.
func NeedsKey(ref, list string, part int) string {
	return NeedsPrefix + ref + "/" + list + "/" + strconv.Itoa(part)
}

// NeedsJob is the job that a key made by NeedsKey belongs to.
func NeedsJob(key string) string {
	ref, _, _ := strings.Cut(strings.TrimPrefix(key, NeedsPrefix), "/")
	return ref
}

// GangKey is the key of a gang attempt's record.
func GangKey(ref string, attempt uint64) string {
	return GangPrefix + ref + "/" + strconv.FormatUint(attempt, 10)
}

var refForm = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidRef tells whether s has the form of a job id.
func ValidRef(s string) bool { return refForm.MatchString(s) }

// TaskName joins a job id and a task number.
func TaskName(ref string, task int) string { return ref + "/" + strconv.Itoa(task) }

// SplitTask is the reverse of TaskName.
func SplitTask(s string) (ref string, task int, err error) {
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
	case strings.HasPrefix(key, PartPrefix):
		v = new(Part)
	case strings.HasPrefix(key, GangPrefix):
		v = new(Gang)
	case strings.HasPrefix(key, MailboxPrefix):
		v = new(Gossip)
	case strings.HasPrefix(key, ImagePrefix):
		v = new(Images)
	case strings.HasPrefix(key, ContinuationPrefix):
		v = new(Continuation)
	case strings.HasPrefix(key, FormatPrefix):
		v = new(SupportedFormat)
	case strings.HasPrefix(key, NeedsPrefix):
		v = new(Needs)
	case strings.HasPrefix(key, AccountPrefix):
		return decodeAccount(raw), nil
	case key == LeaderKey:
		v = new(Leader)
	case key == TakeoversKey:
		v = new(Takeovers)
	case key == TypesKey:
		v = new(Types)
	default:
		return nil, nil
	}
	if err := Decode(raw, v); err != nil {
		return nil, err
	}
	return v, nil
}
