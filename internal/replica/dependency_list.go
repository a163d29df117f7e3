package replica

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"micaport/internal/wire"
)

// A job's record holds short lists of dependencies itself. A list that would make the record
// too large is stored in separate keys. They are written first, in several transactions if
// necessary, and the record that refers to them is written last. A stored list never changes.
// Its name is a hash of its contents, so that a repeated submission of the same job, to any
// controller, writes the same keys.

const (
	// dependencyListNameBytes is the length to which the hash in a list's name is truncated.
	dependencyListNameBytes = 16
	// dependencyListHeaderBytes bounds the size of a value without its job ids.
	dependencyListHeaderBytes = 24
	// idOverheadBytes is the encoding overhead of one id: two quotes and a comma.
	idOverheadBytes = 3
)

// DependencyListName returns the name of a list of job ids, which is a hash of the ids.
func DependencyListName(ids []string) string {
	sum := sha256.Sum256([]byte(strings.Join(ids, " ")))
	return hex.EncodeToString(sum[:dependencyListNameBytes])
}

// SplitDependencyList splits a list into parts whose encoded values have at most valueBytes
// bytes each.
func SplitDependencyList(ids []string, valueBytes int) [][]string {
	var parts [][]string
	size := valueBytes // so that the first id begins a part
	for _, id := range ids {
		idBytes := len(id) + idOverheadBytes
		if size+idBytes > valueBytes {
			parts = append(parts, nil)
			size = dependencyListHeaderBytes
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], id)
		size += idBytes
	}
	return parts
}

// PutDependencyList stages the part of a dependency list that is stored in one key, until the
// record of its job is applied. It ignores the key if the record has been applied already, as the
// job is linked to its dependencies then.
func (r *Replica) PutDependencyList(key string, list *wire.DependencyList) {
	id := wire.DependencyListJobID(key)
	if job := r.Find(id); job != nil && job.Record != nil {
		return
	}
	if r.stagedDependencyLists[id] == nil {
		r.stagedDependencyLists[id] = map[string][]string{}
	}
	r.stagedDependencyLists[id][key] = list.JobIDs
}

// HasDependencyListKey reports whether a key of a job's dependency list is staged. The staged keys
// are discarded once the record of the job has been applied.
func (r *Replica) HasDependencyListKey(id, key string) bool {
	_, found := r.stagedDependencyLists[id][key]
	return found
}

// StagedDependencyLists returns the number of jobs with staged dependency lists.
func (r *Replica) StagedDependencyLists() int { return len(r.stagedDependencyLists) }

// dependenciesInRecord returns the ids of the jobs that a record depends on, from the record
// itself or from the staged keys of its dependency list, and reports whether the list is
// complete.
func (r *Replica) dependenciesInRecord(id string, record *wire.Job) (ids []string, complete bool) {
	if record.DependencyList == "" {
		return record.Spec.Dependencies, true
	}
	for number := 1; number <= record.DependencyListKeys; number++ {
		part, found := r.stagedDependencyLists[id][wire.DependencyListKey(id, record.DependencyList, number)]
		if !found {
			return ids, false
		}
		ids = append(ids, part...)
	}
	return ids, true
}

// Dependencies returns the ids of the jobs that a job depends on, and reports whether the
// list is complete. The given record was read from the state service and may be newer than
// the replica. If it refers to a separate dependency list, the ids are taken from the job's
// links, or from the staged keys if the job has no links or its record has not been applied.
func (r *Replica) Dependencies(id string, record *wire.Job) (ids []string, complete bool) {
	job := r.Find(id)
	if record.DependencyList == "" || job == nil || job.Record == nil || job.Links == nil {
		return r.dependenciesInRecord(id, record)
	}
	for _, index := range job.Links.Dependencies {
		ids = append(ids, r.jobs[index].ID)
	}
	return ids, true
}
