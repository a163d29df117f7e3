package core

// provisionTimeFactor is the ratio, in most cases, of the time from the decision to provision a
// machine until its first heartbeat to the boot time of its type.
const provisionTimeFactor = 1.3

// reserveForArrivals reserves capacity for the jobs that are forecast to arrive within the time
// that it takes to provision a machine; see classArrivals. Idle machines with such a reservation
// are not drained, and missing machines are provisioned. It runs after the waiting jobs other
// than backfill have been served, and grants nothing, so that any waiting task can use the
// capacity.
func (p *schedulingPass) reserveForArrivals() {
	n := p.node
	for _, class := range n.arrivals.classes {
		job := n.recentJobOf(class)
		if job == nil {
			continue
		}
		lead := n.provisionTime(job)
		if class.withheldFromBackfillOnly {
			if p.hasBackfill {
				p.reserveAgainstBackfill(job, n.arrivals.tasksToReserve(class, n.now, n.preemptionTime()))
			}
			continue
		}
		// No machine has to be up in advance if one can be provisioned and fetch the image
		// within the start objective.
		if lead == 0 || lead+n.imageFetchTime(job) < class.startWithin || n.fitsBesideGPUWork(job) {
			continue
		}
		for range n.arrivals.tasksToReserve(class, n.now, lead) {
			slot := p.findOrProvision(job, nil)
			if slot == nil {
				break
			}
			slot.allocate(job.Record.Spec)
		}
	}
}

// findOrProvision returns the best available slot for a task of a job, or else the best expected
// slot. If neither exists, it plans to provision a machine and returns the slot of that machine, or
// nil if none can be provisioned. The result of accept (nil: any slot) must be the same for all
// slots of a class.
func (p *schedulingPass) findOrProvision(job *job, accept func(*slot) bool) *slot {
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

// acceptAny accepts every slot.
func acceptAny(*slot) bool { return true }

// reserveAgainstBackfill reserves free capacity for tasks of a job's class that will probably
// arrive before backfill could be preempted for them.
func (p *schedulingPass) reserveAgainstBackfill(job *job, tasks int) {
	for range tasks {
		slot := p.available.best(job, nil, nil)
		if slot == nil {
			return
		}
		slot.allocate(job.Record.Spec)
	}
}

// preemptionTime returns how long it takes to preempt a task: two heartbeats of its machine, and
// a second for the writes.
func (s *site) preemptionTime() Time { return 2*s.cfg.HeartbeatInterval + second }

// fitsBesideGPUWork reports whether a job's tasks need no GPUs although all machines on which
// they may run have some. They can share machines with GPU tasks, so that no idle machines with
// GPUs are needed for them.
func (t *topology) fitsBesideGPUWork(job *job) bool {
	if job.Record.Spec.GPUs > 0 {
		return false
	}
	for index, machineType := range t.machineTypes.Offered() {
		if machineType.GPUs == 0 &&
			(job.AnyType || job.MachineTypes.Has(index)) &&
			fitsType(job.Record.Spec, machineType) {
			return false
		}
	}
	return true
}

// provisionTime returns how long it takes in most cases from the decision to provision a machine
// for a job until its first heartbeat; 0 if no machine type fits.
func (t *topology) provisionTime(job *job) Time {
	shortest := 0.0 // in seconds
	for index, machineType := range t.machineTypes.Offered() {
		if (job.AnyType || job.MachineTypes.Has(index)) &&
			fitsType(job.Record.Spec, machineType) &&
			(shortest == 0 || machineType.BootS < shortest) {
			shortest = machineType.BootS
		}
	}
	return Time(shortest * provisionTimeFactor * float64(second))
}

// imageFetchTime returns how long it takes to fetch a job's image at the highest nominal rate of
// the machine types on which the job may run; 0 if no rate is known.
func (t *topology) imageFetchTime(job *job) Time {
	rate := 0.0 // in GB/s
	for index, machineType := range t.machineTypes.Offered() {
		if job.AnyType || job.MachineTypes.Has(index) {
			rate = max(rate, machineType.FetchGBs)
		}
	}
	if rate <= 0 {
		return 0
	}
	return Time(job.Record.Spec.ImageGB / rate * float64(second))
}
