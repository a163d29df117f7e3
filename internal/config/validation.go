package config

import (
	"errors"
	"fmt"
	"net"
)

// Minimum values with which a controller can serve.
const (
	minPublicSockets = 16 // connections of users and workers
	minMemoryMB      = 24 // MiB that the program needs before it serves anything
	// minTransactionOps is 2, as granting a gang across shards changes two keys.
	minTransactionOps = 2
	// minValueBytes allows for records of a few hundred bytes before they list any tasks.
	minValueBytes = 1024
)

// validator collects the violations of settings.
type validator struct{ violations []error }

// addViolation adds a violation.
func (v *validator) addViolation(format string, args ...any) {
	v.violations = append(v.violations, fmt.Errorf("  "+format, args...))
}

// requireAddress requires a value of the form host:port.
func (v *validator) requireAddress(name, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		v.addViolation("%s: %q is not host:port", name, value)
	}
}

// requirePositive requires a value above 0. It rejects NaN, too.
func (v *validator) requirePositive(name string, value float64) {
	if !(value > 0) {
		v.addViolation("%s must be positive, not %v", name, value)
	}
}

// requirePositiveIfSet requires a value to be positive unless it is nil.
func (v *validator) requirePositiveIfSet(name string, value *float64) {
	if value != nil {
		v.requirePositive(name, *value)
	}
}

// Validate returns an error that joins all violations of the settings, or nil.
func (s *Settings) Validate() error {
	v := &validator{}
	v.checkControllers(s)
	v.checkZones(s)
	v.checkTeams(s.Deployment.Teams)
	v.checkWorkers(s)
	v.checkServices(s)
	v.checkMachine(s)
	return errors.Join(v.violations...)
}

// checkControllers checks the names and addresses of this controller, its peers and the services.
func (v *validator) checkControllers(s *Settings) {
	if s.Label == "" {
		v.addViolation("label is missing")
	}
	if s.Zone == "" {
		v.addViolation("site is missing")
	}
	v.requireAddress("bind", s.Bind)
	v.requireAddress("cluster_listen", s.ClusterBind)
	v.requireAddress("external.cloud", s.External.Cloud)
	v.requireAddress("external.state", s.External.State)
	if s.Bind != "" && s.Bind == s.ClusterBind {
		v.addViolation("bind and cluster_listen are the same address")
	}
	labels := map[string]bool{s.Label: true}
	for i, peer := range s.Peers {
		if peer.Label == "" || labels[peer.Label] {
			v.addViolation("peers[%d]: label %q is missing or duplicate", i, peer.Label)
		}
		labels[peer.Label] = true
		v.requireAddress(fmt.Sprintf("peers[%d].address", i), peer.Address)
	}
	if size := s.Deployment.Size; size != 0 && size != len(s.Peers)+1 {
		v.addViolation("deployment.size is %d, but %d controllers are named", size, len(s.Peers)+1)
	}
}

// checkZones checks that every controller is in a zone of the deployment.
func (v *validator) checkZones(s *Settings) {
	zones := map[string]bool{}
	for _, zone := range s.Deployment.Zones {
		zones[zone] = true
	}
	if len(zones) == 0 {
		v.addViolation("deployment.zones is empty")
		return
	}
	if !zones[s.Zone] {
		v.addViolation("site %q is not among deployment.zones", s.Zone)
	}
	for i, peer := range s.Peers {
		if !zones[peer.Zone] {
			v.addViolation("peers[%d]: site %q is not among deployment.zones", i, peer.Zone)
		}
	}
}

// checkTeams checks the names, guarantees and quotas of teams.
func (v *validator) checkTeams(teams []Team) {
	names := map[string]bool{}
	for i, team := range teams {
		if team.Name == "" || names[team.Name] {
			v.addViolation("teams[%d]: name %q is missing or duplicate", i, team.Name)
		}
		names[team.Name] = true
		if team.GuaranteedCores < 0 || team.GuaranteedGPUs < 0 || team.MaxCores < 0 || team.MaxGPUs < 0 {
			v.addViolation("team %s: amounts must not be negative", team.Name)
		}
		if team.MaxCores > 0 && team.GuaranteedCores > team.MaxCores || team.MaxGPUs > 0 && team.GuaranteedGPUs > team.MaxGPUs {
			v.addViolation("team %s: the guarantee exceeds the limit", team.Name)
		}
	}
}

// checkWorkers checks the durations, and that they allow an owner's validity of at least two
// heartbeat intervals.
func (v *validator) checkWorkers(s *Settings) {
	workers := &s.Deployment.Workers
	v.requirePositive("workers.report_s", workers.ReportS)
	v.requirePositive("workers.lease_s", workers.LeaseS)
	v.requirePositive("workers.cancel_s", workers.CancelS)
	v.requirePositive("workers.gang_wait_s", workers.GangWaitS)
	v.requirePositive("workers.gang_peer_s", workers.GangPeerS)
	if workers.LeaseS > 0 && workers.CancelS > 0 && workers.ReportS > 0 && s.Validity() < 2*Seconds(workers.ReportS) {
		v.addViolation("workers: cancel_s %v leaves no time beyond lease_s %v for an owner's validity", workers.CancelS, workers.LeaseS)
	}
}

// checkServices checks the current and next limits of the state service, and the limits of the
// cloud.
func (v *validator) checkServices(s *Settings) {
	state := &s.Deployment.State
	v.requirePositive("state.rps", state.RPS)
	v.requirePositive("state.write_rps", state.WriteRPS)
	v.requirePositive("state.value_kb", state.ValueKB)
	v.requirePositive("state.txn_ops", float64(state.TxnOps))
	v.requirePositiveIfSet("state.next.rps", state.Next.RPS)
	v.requirePositiveIfSet("state.next.write_rps", state.Next.WriteRPS)
	v.requirePositiveIfSet("state.next.value_kb", state.Next.ValueKB)
	if ops := state.Next.TxnOps; ops != nil {
		v.requirePositive("state.next.txn_ops", float64(*ops))
	}
	limits := s.StateLimits()
	if limits.TxnOps > 0 && limits.TxnOps < minTransactionOps {
		v.addViolation("state: transactions of %d changes are too small, at least %d are needed", limits.TxnOps, minTransactionOps)
	}
	if limits.ValueBytes > 0 && limits.ValueBytes < minValueBytes {
		v.addViolation("state: values of %d bytes are too small, at least %d are needed", limits.ValueBytes, minValueBytes)
	}
	v.requirePositive("cloud.rps", s.Deployment.Cloud.RPS)
}

// checkMachine checks that the machine's limits allow a controller to serve.
func (v *validator) checkMachine(s *Settings) {
	limits := &s.Deployment.Limits
	if limits.Sockets != 0 && s.PublicSockets() < minPublicSockets {
		v.addViolation("limits.fd_limit: %d sockets leave %d for users and workers, at least %d are needed", limits.Sockets, max(0, s.PublicSockets()), minPublicSockets)
	}
	if limits.MemoryMB != 0 && limits.MemoryMB < minMemoryMB {
		v.addViolation("limits.mem_mb: %v is less than the minimum of %d for a controller", limits.MemoryMB, minMemoryMB)
	}
}
