package wire

import (
	"fmt"
	"net/url"
	"regexp"
	"strconv"
	"strings"
)

// Keys of the records in the state service. All share Prefix, so that a single watch reports all
// changes in order. A key or prefix that a format adds is used only once all controllers support
// that format; see record_format.go. Those marked with any format are used at once, as versions that
// do not know them lose nothing by ignoring them.
const (
	Prefix = "m/"

	JobPrefix     = "m/j/" // Job, by job ID
	ShardPrefix   = "m/p/" // Shard, by name
	GangPrefix    = "m/g/" // Gang, by job ID and attempt
	MailboxPrefix = "m/r/" // Gossip, by controller, for peers that can't be reached directly
	ImagePrefix   = "m/i/" // ImageCache, by controller

	OverflowPrefix       = "m/x/" // Overflow, by job ID and number; format 2
	FormatPrefix         = "m/f/" // SupportedFormat, by controller; format 2
	DependencyListPrefix = "m/n/" // DependencyList, by job ID, list and number; format 3
	AccountPrefix        = "m/q/" // Account, by team; format 4

	MachineTypePartPrefix = "m/t/" // MachineTypePart, by generation and number; any format

	LeaderKey          = "m/leader"    // Leader
	MachineTypesKey    = "m/types"     // MachineTypeCache
	MachineTypeHeadKey = "m/typelist"  // MachineTypeHead; any format
	TakeoversKey       = "m/takeovers" // Takeovers; format 5
)

// JobKey returns the key of a job's record.
func JobKey(jobID string) string { return JobPrefix + jobID }

// ShardKey returns the key of a shard's claim.
func ShardKey(name string) string { return ShardPrefix + name }

// OverflowKey returns the key of a job's overflow record with the given number, from 1 on.
func OverflowKey(jobID string, number int) string {
	return OverflowPrefix + jobID + "/" + strconv.Itoa(number)
}

// SplitOverflowKey returns the job ID and the number in a key made by OverflowKey. The number of a
// malformed key is 0.
func SplitOverflowKey(key string) (jobID string, number int) {
	jobID, text, _ := strings.Cut(strings.TrimPrefix(key, OverflowPrefix), "/")
	number, err := strconv.Atoi(text)
	if err != nil {
		return jobID, 0
	}
	return jobID, number
}

// DependencyListKey returns the key of a part of a job's list of dependencies. Parts are numbered
// from 1 on.
func DependencyListKey(jobID, listName string, number int) string {
	return DependencyListPrefix + jobID + "/" + listName + "/" + strconv.Itoa(number)
}

// DependencyListJobID returns the job ID in a key made by DependencyListKey.
func DependencyListJobID(key string) string {
	jobID, _, _ := strings.Cut(strings.TrimPrefix(key, DependencyListPrefix), "/")
	return jobID
}

// GangKey returns the key of the record of an attempt to start a gang.
func GangKey(jobID string, attempt uint64) string {
	return GangPrefix + jobID + "/" + strconv.FormatUint(attempt, 10)
}

// MachineTypePartKey returns the key of a part of a list of machine types. Parts are numbered from 1
// on.
func MachineTypePartKey(generation string, number int) string {
	return MachineTypePartPrefix + generation + "/" + strconv.Itoa(number)
}

// AccountKey returns the key of a team's account. The name of the team is escaped, as it may contain
// characters that are not allowed in keys, such as spaces.
func AccountKey(team string) string { return AccountPrefix + url.QueryEscape(team) }

// AccountTeam returns the team in a key made by AccountKey, or "" if the name is malformed.
func AccountTeam(key string) string {
	team, err := url.QueryUnescape(key[len(AccountPrefix):])
	if err != nil {
		return ""
	}
	return team
}

var jobIDPattern = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidJobID reports whether s has the form of a job ID.
func ValidJobID(s string) bool { return jobIDPattern.MatchString(s) }

// TaskName returns the name of a task in messages to and from workers, which consists of the job ID
// and the task number.
func TaskName(jobID string, task int) string { return jobID + "/" + strconv.Itoa(task) }

// SplitTaskName returns the job ID and the task number in a name made by TaskName. It does not check
// the form of the job ID.
func SplitTaskName(name string) (jobID string, task int, err error) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, fmt.Errorf("task name %q has no task number", name)
	}
	task, err = strconv.Atoi(name[slash+1:])
	if err != nil || task < 0 {
		return "", 0, fmt.Errorf("task name %q has an invalid task number", name)
	}
	return name[:slash], task, nil
}
