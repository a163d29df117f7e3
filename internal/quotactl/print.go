package quotactl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"micaport/internal/wire"
)

// PrintJSON writes accounts as JSON.
func PrintJSON(out io.Writer, accounts []Account) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(accounts)
}

// PrintTable writes accounts as a table: a line for each team, followed by a line for each shard
// that has a share or admitted tasks of the team.
func PrintTable(out io.Writer, site *Site, accounts []Account) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TEAM\tVERSION\tGUARANTEE\tLIMIT\tGRANTED\tADMITTED\tFAULT")
	for i := range accounts {
		account := &accounts[i]
		admitted := wire.Resources{}
		for _, used := range account.Usage.Admitted {
			admitted = addResources(admitted, used)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", account.Team, account.Version, formatResources(account.Guarantee), formatResources(account.Limit),
			formatResources(account.Usage.Granted), formatResources(admitted), account.Error)
		for shard, id := range site.Shards {
			share, hasShare := account.shareOf(shard)
			used, hasUsage := account.Usage.Admitted[shard]
			if hasShare || hasUsage {
				fmt.Fprintf(table, "  %s\t\t\t%s\t\t%s\t\n", id.Name(), formatResources(share), formatResources(used))
			}
		}
	}
	return table.Flush()
}

// shareOf returns a shard's share and whether it has one.
func (a *Account) shareOf(shard int) (wire.Resources, bool) {
	for _, share := range a.Shares {
		if share.Shard == shard {
			return wire.Resources{Cores: share.Cores, GPUs: share.GPUs}, true
		}
	}
	return wire.Resources{}, false
}

// formatResources formats resources, without those that are 0.
func formatResources(r wire.Resources) string {
	var named []string
	if r.GPUs != 0 {
		named = append(named, fmt.Sprintf("%v GPUs", r.GPUs))
	}
	if r.Cores != 0 {
		named = append(named, fmt.Sprintf("%v cores", r.Cores))
	}
	if len(named) == 0 {
		return "-"
	}
	return strings.Join(named, ", ")
}
