package wire

import (
	"fmt"
	"net/url"
	"regexp"
	"strconv"
	"strings"
)

// Keys of the records in the state service. All share Prefix, so that one watch sees every
// change in order. A key or prefix that a format adds is used only once that format has been
// agreed on; see record_format.go.
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

	LeaderKey       = "m/leader"    // Leader
	MachineTypesKey = "m/types"     // MachineTypeCache
	TakeoversKey    = "m/takeovers" // Takeovers; format 5
)

// JobKey is the key of a job's record.
func JobKey(jobID string) string { return JobPrefix + jobID }

// ShardKey is the key of a shard's claim.
func ShardKey(name string) string { return ShardPrefix + name }

// OverflowKey is the key of a job's overflow record with the given number, from 1 on.
func OverflowKey(jobID string, number int) string {
	return OverflowPrefix + jobID + "/" + strconv.Itoa(number)
}

// SplitOverflowKey is the inverse of OverflowKey. The number of a malformed key is 0.
func SplitOverflowKey(key string) (jobID string, number int) {
	jobID, text, _ := strings.Cut(strings.TrimPrefix(key, OverflowPrefix), "/")
	number, err := strconv.Atoi(text)
	if err != nil {
		return jobID, 0
	}
	return jobID, number
}

// DependencyListKey is the key of a part of a job's list of dependencies. Parts are numbered
// from 1 on.
func DependencyListKey(jobID, list string, number int) string {
	return DependencyListPrefix + jobID + "/" + list + "/" + strconv.Itoa(number)
}

// DependencyListJob is the ID of the job that a key made by DependencyListKey belongs to.
func DependencyListJob(key string) string {
	jobID, _, _ := strings.Cut(strings.TrimPrefix(key, DependencyListPrefix), "/")
	return jobID
}

// GangKey is the key of the record of a gang's attempt.
func GangKey(jobID string, attempt uint64) string {
	return GangPrefix + jobID + "/" + strconv.FormatUint(attempt, 10)
}

// AccountKey is the key of a team's account. The name of the team is escaped, as it may hold
// characters that a key must not, such as spaces.
func AccountKey(team string) string { return AccountPrefix + url.QueryEscape(team) }

// AccountTeam is the inverse of AccountKey; "" if the name in the key is malformed.
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

// TaskName joins a job ID and a task number to the name by which workers know the task.
func TaskName(jobID string, task int) string { return jobID + "/" + strconv.Itoa(task) }

// SplitTaskName is the inverse of TaskName. It does not check the form of the job ID.
func SplitTaskName(name string) (jobID string, task int, err error) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, fmt.Errorf("task %q has no number", name)
	}
	task, err = strconv.Atoi(name[slash+1:])
	if err != nil || task < 0 {
		return "", 0, fmt.Errorf("task %q has a bad number", name)
	}
	return name[:slash], task, nil
}
