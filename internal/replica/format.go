package replica

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// During an upgrade, controllers of two versions read and write the same records. Each
// controller publishes the newest record format that it can read. A feature that needs a
// format is used only once every controller of the deployment supports it. The published
// records are never removed, so the agreed format never decreases. See "Two versions side by
// side" in docs/design.md.

// SupportedFormatWrites returns the write that publishes the newest format that this
// controller reads. It returns nil if the replica already shows that record, or if the format
// is the first one, which needs none.
func (r *Replica) SupportedFormatWrites() []kv.Write {
	if r.cfg.Format < wire.FormatDependencies || r.supportedFormats[r.cfg.Self] >= r.cfg.Format {
		return nil
	}
	return []kv.Write{{Key: wire.FormatPrefix + r.cfg.Self, Value: &wire.SupportedFormat{Format: r.cfg.Format}}}
}

// PutFormat applies the record of the newest format that a controller reads.
func (r *Replica) PutFormat(controller string, supported *wire.SupportedFormat) {
	r.supportedFormats[controller] = max(r.supportedFormats[controller], supported.Format)
	agreed := r.cfg.Format
	for _, name := range r.cfg.Controllers {
		agreed = min(agreed, r.supportedFormats[name])
	}
	if agreed <= r.agreedFormat {
		return
	}
	r.agreedFormat = agreed
	for _, index := range r.live { // Job.LargeArray depends on the agreed format
		if job := r.jobs[index]; job.Record.Spec != nil {
			r.updateRecordSize(job)
		}
	}
	r.observer.FormatAgreed(agreed)
}

// AgreedFormat returns the newest format that all controllers read.
func (r *Replica) AgreedFormat() int { return r.agreedFormat }

// SupportsDependencies reports whether records may have dependencies and overflow keys.
func (r *Replica) SupportsDependencies() bool { return r.agreedFormat >= wire.FormatDependencies }

// SupportsDependencyLists reports whether dependencies may be stored in separate keys.
func (r *Replica) SupportsDependencyLists() bool { return r.agreedFormat >= wire.FormatDependencyLists }

// SupportsTeamAccounts reports whether teams may have accounts, and shard owners may admit
// tasks within their shares.
func (r *Replica) SupportsTeamAccounts() bool { return r.agreedFormat >= wire.FormatTeamAccounts }

// SupportsEarlyFailover reports whether the record of the leadership may be marked as fenced.
func (r *Replica) SupportsEarlyFailover() bool { return r.agreedFormat >= wire.FormatEarlyFailover }
