package core

import (
	"testing"

	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Guards against an image cache record that is left behind for good: a write that failed was not
// repeated until the number of images changed.
func TestImageCacheIsWrittenUntilItIsStored(t *testing.T) {
	d, term := newOwnerHarness(t)
	n := d.node
	n.findMachine("vm-1").images.Add(n.names.Images.Intern("img"))
	outcomes := []kv.Outcome{kv.Refused, kv.Unknown, kv.OK}
	writes := 0
	for sequence := uint64(3); sequence < 30; sequence++ {
		d.sendHeartbeat(sequence, term)
		n.nextImageCacheWriteAt = 0
		n.effects = nil
		n.writeImageCache()
		for _, e := range n.effects {
			commit, ok := e.(Commit)
			if !ok || commit.Writes[0].Key != wire.ImagePrefix+"n0" {
				continue
			}
			n.deliverResult(commit.ID, Committed{ID: commit.ID, Outcome: outcomes[min(writes, len(outcomes)-1)], Revision: d.revision})
			writes++
		}
		d.wait(second)
	}
	if writes != len(outcomes) {
		t.Errorf("written %d times, want %d: until it is stored", writes, len(outcomes))
	}
}
