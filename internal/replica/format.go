package replica

import (
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Two versions of the service work on each other's records while one replaces the other.
// What the earlier one does not know is written only when every controller of the
// deployment has left a record that it reads it; as those records stay, that never goes
// back. See "Two versions side by side" in docs/design.md.

// SupportedFormatWrites is the write of the record of what this controller reads; none
// once the replica shows it.
func (r *Replica) SupportedFormatWrites() []kv.Write {
	if r.cfg.Format < wire.FormatDependencies || r.formats[r.cfg.Self] >= r.cfg.Format {
		return nil
	}
	return []kv.Write{{Key: wire.FormatPrefix + r.cfg.Self, Value: &wire.SupportedFormat{Format: r.cfg.Format}}}
}

// PutFormat applies the record of what a controller reads.
func (r *Replica) PutFormat(controller string, supported *wire.SupportedFormat) {
	r.formats[controller] = max(r.formats[controller], supported.Format)
	agreed := r.cfg.Format
	for _, name := range r.cfg.Controllers {
		agreed = min(agreed, r.formats[name])
	}
	if agreed <= r.agreed {
		return
	}
	r.agreed = agreed
	for _, index := range r.live {
		if job := r.jobs[index]; job.Record.Spec != nil {
			r.measure(job)
		}
	}
	r.observer.FormatAgreed(agreed)
}

// AgreedFormat is the newest format that all controllers read.
func (r *Replica) AgreedFormat() int { return r.agreed }

// WritesDependencies tells whether records may hold dependencies, and overflow into
// further keys.
func (r *Replica) WritesDependencies() bool { return r.agreed >= wire.FormatDependencies }

// WritesDependencyLists tells whether dependencies may stand in keys of their own.
func (r *Replica) WritesDependencyLists() bool { return r.agreed >= wire.FormatDependencyLists }

// WritesTeamAccounts tells whether teams may have accounts, and owners admit work within
// their shares.
func (r *Replica) WritesTeamAccounts() bool { return r.agreed >= wire.FormatTeamAccounts }

// WritesEarlyFailover tells whether a leader's claim may say that it is fenced.
func (r *Replica) WritesEarlyFailover() bool { return r.agreed >= wire.FormatEarlyFailover }
