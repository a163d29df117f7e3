package config

import (
	"errors"
	"fmt"
	"net"
)

// checker gathers the faults of settings.
type checker struct{ errs []error }

func (c *checker) fail(format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("  "+format, args...))
}

func (c *checker) address(name, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.fail("%s: %q is not host:port", name, value)
	}
}

func (c *checker) positive(name string, value float64) {
	if !(value > 0) {
		c.fail("%s must be positive, not %v", name, value)
	}
}

// optional is positive for a value that may be left out.
func (c *checker) optional(name string, value *float64) {
	if value != nil {
		c.positive(name, *value)
	}
}

// Check names every fault of the settings.
func (s *Settings) Check() error {
	c := &checker{}
	c.controllers(s)
	c.zones(s)
	c.teams(s.Deployment.Teams)
	c.workers(s)
	c.services(s)
	c.machine(s)
	return errors.Join(c.errs...)
}

// controllers checks the names and addresses of this controller and its peers.
func (c *checker) controllers(s *Settings) {
	if s.Label == "" {
		c.fail("label is missing")
	}
	if s.Zone == "" {
		c.fail("site is missing")
	}
	c.address("bind", s.Bind)
	c.address("cluster_listen", s.ClusterBind)
	c.address("external.cloud", s.External.Cloud)
	c.address("external.state", s.External.State)
	if s.Bind != "" && s.Bind == s.ClusterBind {
		c.fail("bind and cluster_listen are the same address")
	}
	labels := map[string]bool{s.Label: true}
	for i, p := range s.Peers {
		if p.Label == "" || labels[p.Label] {
			c.fail("peers[%d]: label %q is missing or taken", i, p.Label)
		}
		labels[p.Label] = true
		c.address(fmt.Sprintf("peers[%d].address", i), p.Address)
	}
	if size := s.Deployment.Size; size != 0 && size != len(s.Peers)+1 {
		c.fail("deployment.size is %d, but %d controllers are named", size, len(s.Peers)+1)
	}
}

// zones checks that every controller is in a zone of the deployment.
func (c *checker) zones(s *Settings) {
	zones := map[string]bool{}
	for _, z := range s.Deployment.Zones {
		zones[z] = true
	}
	if len(zones) == 0 {
		c.fail("deployment.zones is empty")
		return
	}
	if !zones[s.Zone] {
		c.fail("site %q is not among deployment.zones", s.Zone)
	}
	for i, p := range s.Peers {
		if !zones[p.Zone] {
			c.fail("peers[%d]: site %q is not among deployment.zones", i, p.Zone)
		}
	}
}

// teams checks names, guarantees and limits.
func (c *checker) teams(teams []Team) {
	names := map[string]bool{}
	for i, t := range teams {
		if t.Name == "" || names[t.Name] {
			c.fail("teams[%d]: name %q is missing or taken", i, t.Name)
		}
		names[t.Name] = true
		if t.GuaranteedCores < 0 || t.GuaranteedGPUs < 0 || t.MaxCores < 0 || t.MaxGPUs < 0 {
			c.fail("team %s: amounts must not be negative", t.Name)
		}
		if t.MaxCores > 0 && t.GuaranteedCores > t.MaxCores || t.MaxGPUs > 0 && t.GuaranteedGPUs > t.MaxGPUs {
			c.fail("team %s: the guarantee exceeds the limit", t.Name)
		}
	}
}

// workers checks the times of workers, and that they leave owners a validity.
func (c *checker) workers(s *Settings) {
	w := &s.Deployment.Workers
	c.positive("workers.report_s", w.ReportS)
	c.positive("workers.lease_s", w.LeaseS)
	c.positive("workers.cancel_s", w.CancelS)
	c.positive("workers.gang_wait_s", w.GangWaitS)
	c.positive("workers.gang_peer_s", w.GangPeerS)
	if w.LeaseS > 0 && w.CancelS > 0 && w.ReportS > 0 && s.Validity() < 2*Seconds(w.ReportS) {
		c.fail("workers: cancel_s %v leaves no time beyond lease_s %v for an owner's validity", w.CancelS, w.LeaseS)
	}
}

// services checks the limits of the state service, present and next, and of the cloud.
func (c *checker) services(s *Settings) {
	state := &s.Deployment.State
	c.positive("state.rps", state.RPS)
	c.positive("state.write_rps", state.WriteRPS)
	c.positive("state.value_kb", state.ValueKB)
	c.positive("state.txn_ops", float64(state.TxnOps))
	c.optional("state.next.rps", state.Next.RPS)
	c.optional("state.next.write_rps", state.Next.WriteRPS)
	c.optional("state.next.value_kb", state.Next.ValueKB)
	if ops := state.Next.TxnOps; ops != nil {
		c.positive("state.next.txn_ops", float64(*ops))
	}
	limits := s.Limits()
	if limits.TxnOps > 0 && limits.TxnOps < minTransactionOps {
		c.fail("state: transactions of %d changes are too small, at least %d are needed", limits.TxnOps, minTransactionOps)
	}
	if limits.ValueBytes > 0 && limits.ValueBytes < minValueBytes {
		c.fail("state: values of %d bytes are too small, at least %d are needed", limits.ValueBytes, minValueBytes)
	}
	c.positive("cloud.rps", s.Deployment.Cloud.RPS)
}

// machine checks that the machine's limits let a controller serve at all.
func (c *checker) machine(s *Settings) {
	limits := &s.Deployment.Limits
	if limits.Sockets != 0 && s.PublicSockets() < minPublicSockets {
		c.fail("limits.fd_limit: %d sockets leave %d for users and workers, at least %d are needed", limits.Sockets, max(0, s.PublicSockets()), minPublicSockets)
	}
	if limits.MemoryMB != 0 && limits.MemoryMB < minMemoryMB {
		c.fail("limits.mem_mb: %v is less than the %d that a controller takes by itself", limits.MemoryMB, minMemoryMB)
	}
}
