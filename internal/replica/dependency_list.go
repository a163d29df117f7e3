package replica

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"micaport/internal/wire"
)

// A record holds the ids of a few dependencies itself. A list that it has no room for is
// written to keys of its own first, in as many transactions as it takes, and the record
// that names it last; such a list never changes. Its name is a hash of what it holds, so
// that submitting the same job again, at any controller, writes the same keys.

const (
	// dependencyListNameBytes is how much of the hash of a list its name keeps.
	dependencyListNameBytes = 16
	// dependencyListHeaderBytes bounds what a value takes besides the ids in it.
	dependencyListHeaderBytes = 24
	// idOverheadBytes is what an id takes besides its characters: quotes and a comma.
	idOverheadBytes = 3
)

// DependencyListName is the name of a list of job ids.
func DependencyListName(ids []string) string {
	sum := sha256.Sum256([]byte(strings.Join(ids, " ")))
	return hex.EncodeToString(sum[:dependencyListNameBytes])
}

// SplitDependencyList distributes a list over values of at most a number of bytes.
func SplitDependencyList(ids []string, valueBytes int) [][]string {
	var chunks [][]string
	size := valueBytes
	for _, id := range ids {
		cost := len(id) + idOverheadBytes
		if size+cost > valueBytes {
			chunks = append(chunks, nil)
			size = dependencyListHeaderBytes
		}
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], id)
		size += cost
	}
	return chunks
}

// PutDependencyList applies one key of a list. It is kept until the record of its job is
// applied.
func (r *Replica) PutDependencyList(key string, list *wire.DependencyList) {
	id := wire.DependencyListJob(key)
	if job := r.Find(id); job != nil && job.Record != nil {
		return
	}
	if r.dependencyLists[id] == nil {
		r.dependencyLists[id] = map[string][]string{}
	}
	r.dependencyLists[id][key] = list.JobIDs
}

// HasDependencyList tells whether a key of a list is in the replica; those of jobs whose
// record has been applied are not.
func (r *Replica) HasDependencyList(id, key string) bool {
	_, known := r.dependencyLists[id][key]
	return known
}

// StagedDependencyLists counts the jobs of which lists wait for the record.
func (r *Replica) StagedDependencyLists() int { return len(r.dependencyLists) }

// dependenciesInRecord lists the jobs that a record depends on, from the record itself or
// from the keys that are at hand, and tells whether those are complete.
func (r *Replica) dependenciesInRecord(id string, record *wire.Job) (ids []string, complete bool) {
	if record.DependencyList == "" {
		return record.Spec.Dependencies, true
	}
	for number := 1; number <= record.DependencyListKeys; number++ {
		chunk, known := r.dependencyLists[id][wire.DependencyListKey(id, record.DependencyList, number)]
		if !known {
			return ids, false
		}
		ids = append(ids, chunk...)
	}
	return ids, true
}

// Dependencies lists the jobs that a job depends on, by a record of it that was read from
// the state service and may be newer than the replica. A list in keys of its own is known
// once the replica shows the job.
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
