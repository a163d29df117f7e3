package quotactl

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"micaport/internal/config"
	"micaport/internal/kv"
	"micaport/internal/machinetypes"
	"micaport/internal/ownership"
	"micaport/internal/quota"
	"micaport/internal/wire"
)

// Records reads and writes the records in the state service. *store.AdminClient implements it.
type Records interface {
	List(ctx context.Context, prefix string) (map[string]kv.Event, error)
	Commit(ctx context.Context, conditions []kv.Condition, writes []kv.Write) error
}

// Site contains the settings of a deployment that the commands use.
type Site struct {
	Shards            []ownership.ShardID // in the order of their indices in records
	Controllers       []string            // labels
	Teams             []config.Team
	MaxTransactionOps int // maximum number of writes in a transaction
	MaxMachines       int // limit that operators set; 0 means no limit
}

// NewSite returns the site that the settings define.
func NewSite(settings *config.Settings, operator config.OperatorSettings) *Site {
	site := &Site{Teams: settings.Deployment.Teams, MaxTransactionOps: settings.StateLimits().TxnOps, MaxMachines: operator.MaxMachines}
	var members []ownership.Member
	for _, controller := range settings.Controllers() {
		members = append(members, ownership.Member{Name: controller.Label, Zone: controller.Zone})
		site.Controllers = append(site.Controllers, controller.Label)
	}
	site.Shards = ownership.ShardIDs(settings.Deployment.Zones, members)
	return site
}

// checkAllUpgraded returns quota.ErrNotAllUpgraded with the labels of the controllers whose
// version does not read accounts. Such a controller would apply the settings instead.
func (s *Site) checkAllUpgraded(ctx context.Context, records Records) error {
	formats, err := records.List(ctx, wire.FormatPrefix)
	if err != nil {
		return err
	}
	var notUpgraded []string
	for _, label := range s.Controllers {
		supported, ok := formats[wire.FormatPrefix+label].Value.(*wire.SupportedFormat)
		if !ok || supported.Format < wire.FormatTeamAccounts {
			notUpgraded = append(notUpgraded, label)
		}
	}
	if len(notUpgraded) > 0 {
		return fmt.Errorf("%w: %s", quota.ErrNotAllUpgraded, strings.Join(notUpgraded, ", "))
	}
	return nil
}

// errTypesIncomplete is returned while the leader is storing another list of machine types.
var errTypesIncomplete = errors.New("the stored machine types are being changed, try again")

// offeredTypes returns the machine types on offer, or none if no list is stored that is known to be
// whole. The error is errTypesIncomplete, or that of records.
func offeredTypes(ctx context.Context, records Records) ([]wire.MachineType, error) {
	stored := map[string]kv.Event{}
	for _, prefix := range []string{wire.MachineTypeHeadKey, wire.MachineTypesKey, wire.MachineTypePartPrefix} {
		found, err := records.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		maps.Copy(stored, found)
	}
	head, _ := stored[wire.MachineTypeHeadKey].Value.(*wire.MachineTypeHead)
	record, _ := stored[wire.MachineTypesKey].Value.(*wire.MachineTypeCache)
	list, whole := machinetypes.Find(head, record, func(key string) *wire.MachineTypePart {
		part, _ := stored[key].Value.(*wire.MachineTypePart)
		return part
	})
	if head != nil && !whole {
		return nil, errTypesIncomplete
	}
	return list.Offered, nil
}

// checkCapacity returns quota.ErrExceedsCapacity if the sum of all guarantees exceeds the capacity
// of the maximum number of machines. It returns nil if the operators do not limit the number of
// machines or the leader has not stored the machine types yet.
func (s *Site) checkCapacity(accounts map[string]*wire.Account, machineTypes []wire.MachineType) error {
	if len(machineTypes) == 0 || s.MaxMachines == 0 {
		return nil
	}
	var capacity, guaranteed wire.Resources
	for i := range machineTypes {
		machineType := &machineTypes[i]
		capacity.Cores = max(capacity.Cores, machineType.Cores*float64(s.MaxMachines))
		capacity.GPUs = max(capacity.GPUs, machineType.GPUs*float64(s.MaxMachines))
	}
	for _, team := range slices.Sorted(maps.Keys(accounts)) { // in a fixed order, as rounding depends on it
		guaranteed = addResources(guaranteed, accounts[team].Guarantee)
	}
	if guaranteed.Cores > capacity.Cores || guaranteed.GPUs > capacity.GPUs {
		return fmt.Errorf("%w: %v of %v cores, %v of %v GPUs", quota.ErrExceedsCapacity, guaranteed.Cores, capacity.Cores, guaranteed.GPUs, capacity.GPUs)
	}
	return nil
}
