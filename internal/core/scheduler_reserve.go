package core

// Reserving capacity for jobs that will probably come; see classArrivals.

// provisionTimeFactor is how many times its type's boot time it takes in most cases from the
// decision to provision a machine until it reports.
const provisionTimeFactor = 1.3

// reserveForArrivals plans capacity for what will come before a machine provisioned then could
// be up: idle machines that it uses are not drained, and what is missing is provisioned. It
// comes after all waiting work and grants nothing, so that any real task can have the capacity.
func (p *schedulingPass) reserveForArrivals() {
	n := p.node
	for _, class := range n.arrivals.classes {
		job := n.sampleOf(class)
		if job == nil {
			continue
		}
		lead := n.provisionTime(job)
		if class.backfillGuard {
			if p.hasBackfill {
				p.reserveAgainstBackfill(job, n.arrivals.reserve(class, n.now, n.preemptionTime()))
			}
			continue
		}
		// Where the image alone takes longer, a machine that is up is no help;
		// where a machine boots quickly enough, none need be up.
		if lead == 0 || lead+n.imageFetchTime(job) < class.startWithin || n.fitsBesideGPUWork(job) {
			continue
		}
		for range n.arrivals.reserve(class, n.now, lead) {
			slot := p.bestAnywhere(job, nil)
			if slot == nil {
				break
			}
			slot.allocate(job.Record.Spec)
		}
	}
}

// bestAnywhere returns the best machine that is up, else the best that is expected, else one
// that the pass now plans to provision, or nil. What accept (nil: any) says of a machine must
// hold for its class.
func (p *schedulingPass) bestAnywhere(job *job, accept func(*slot) bool) *slot {
	if slot := p.available.best(job, accept, nil); slot != nil {
		return slot
	}
	if slot := p.expected.best(job, accept, nil); slot != nil {
		return slot
	}
	if accept == nil {
		accept = acceptAny
	}
	return p.provisionFor(job, accept)
}

// acceptAny accepts every machine.
func acceptAny(*slot) bool { return true }

// reserveAgainstBackfill reserves free capacity for tasks that will probably come before
// backfill could be preempted for them.
func (p *schedulingPass) reserveAgainstBackfill(job *job, tasks int) {
	for range tasks {
		slot := p.available.best(job, nil, nil)
		if slot == nil {
			return
		}
		slot.allocate(job.Record.Spec)
	}
}

// preemptionTime is how long it takes to preempt a task: two heartbeats of its machine, and
// some time for the writes.
func (s *site) preemptionTime() Time { return 2*s.cfg.HeartbeatInterval + second }

// fitsBesideGPUWork reports whether a job's tasks need no GPUs where all machines that they
// may run on have some: they run beside work that does, and machines with GPUs need not be
// idle for them.
func (t *topology) fitsBesideGPUWork(job *job) bool {
	if job.Record.Spec.GPUs > 0 {
		return false
	}
	for index, machineType := range t.machineTypes {
		if machineType != nil && machineType.GPUs == 0 &&
			(job.AnyType || job.MachineTypes.Has(index)) &&
			fitsType(job.Record.Spec, machineType) {
			return false
		}
	}
	return true
}

// provisionTime is how long it takes in most cases from the decision to provision a machine
// for a job until it reports; 0 if no machine type fits.
func (t *topology) provisionTime(job *job) Time {
	shortest := 0.0 // in seconds
	for index, machineType := range t.machineTypes {
		if machineType != nil && (job.AnyType || job.MachineTypes.Has(index)) &&
			fitsType(job.Record.Spec, machineType) &&
			(shortest == 0 || machineType.BootS < shortest) {
			shortest = machineType.BootS
		}
	}
	return Time(shortest * provisionTimeFactor * float64(second))
}

// imageFetchTime is how long a job's image takes at the highest nominal rate of the machine
// types that it may run on; 0 if that is not known.
func (t *topology) imageFetchTime(job *job) Time {
	rate := 0.0 // in GB/s
	for index, machineType := range t.machineTypes {
		if machineType != nil && (job.AnyType || job.MachineTypes.Has(index)) {
			rate = max(rate, machineType.FetchGBs)
		}
	}
	if rate <= 0 {
		return 0
	}
	return Time(job.Record.Spec.ImageGB / rate * float64(second))
}
