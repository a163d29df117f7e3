package quotactl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"micaport/internal/config"
	"micaport/internal/kv"
	"micaport/internal/ownership"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Records reads and changes the records on the state service; *store.AdminClient does.
type Records interface {
	List(ctx context.Context, prefix string) (map[string]kv.Event, error)
	Commit(ctx context.Context, conditions []kv.Condition, writes []kv.Write) error
}

// Site is what the commands need to know of a deployment.
type Site struct {
	Shards      []ownership.ShardID // in the order in which records number them
	Controllers []string            // labels
	Teams       []config.Team
	TxnOps      int // writes in a transaction
	MaxMachines int // as operators bound them; 0 is no bound
}

// NewSite derives a site from the settings.
func NewSite(settings *config.Settings, operator config.OperatorSettings) *Site {
	site := &Site{Teams: settings.Deployment.Teams, TxnOps: settings.StateLimits().TxnOps, MaxMachines: operator.MaxMachines}
	var members []ownership.Member
	for _, controller := range settings.Controllers() {
		members = append(members, ownership.Member{Name: controller.Label, Zone: controller.Zone})
		site.Controllers = append(site.Controllers, controller.Label)
	}
	site.Shards = ownership.ShardIDs(settings.Deployment.Zones, members)
	return site
}

// allReadAccounts returns quota.ErrNotAllUpgraded, with the controllers' labels, if some
// controller is of a version that does not read accounts: it would follow the settings.
func (s *Site) allReadAccounts(ctx context.Context, records Records) error {
	formats, err := records.List(ctx, wire.FormatPrefix)
	if err != nil {
		return err
	}
	var behind []string
	for _, label := range s.Controllers {
		supported, ok := formats[wire.FormatPrefix+label].Value.(*wire.SupportedFormat)
		if !ok || supported.Format < wire.FormatTeamAccounts {
			behind = append(behind, label)
		}
	}
	if len(behind) > 0 {
		return fmt.Errorf("%w: %s", quota.ErrNotAllUpgraded, strings.Join(behind, ", "))
	}
	return nil
}

// canHold returns quota.ErrExceedsCapacity if the guarantees of all accounts together exceed
// what the site can have. It can tell only if the operators bound the number of machines and
// the leader has recorded the machine types.
func (s *Site) canHold(accounts map[string]*wire.Account, stored map[string]kv.Event) error {
	machineTypes, ok := stored[wire.MachineTypesKey].Value.(*wire.MachineTypeCache)
	if !ok || s.MaxMachines == 0 {
		return nil
	}
	var capacity, guaranteed wire.Resources
	for i := range machineTypes.Types {
		machineType := &machineTypes.Types[i]
		capacity.Cores = max(capacity.Cores, machineType.Cores*float64(s.MaxMachines))
		capacity.GPUs = max(capacity.GPUs, machineType.GPUs*float64(s.MaxMachines))
	}
	for _, team := range slices.Sorted(maps.Keys(accounts)) { // a fixed order of rounding
		guaranteed = sum(guaranteed, accounts[team].Guarantee)
	}
	if guaranteed.Cores > capacity.Cores || guaranteed.GPUs > capacity.GPUs {
		return fmt.Errorf("%w: %v of %v cores, %v of %v GPUs", quota.ErrExceedsCapacity, guaranteed.Cores, capacity.Cores, guaranteed.GPUs, capacity.GPUs)
	}
	return nil
}
