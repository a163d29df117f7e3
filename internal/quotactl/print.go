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

// PrintTable writes accounts as a table, a line for each team and below it one for each
// shard that holds a share or has admitted tasks.
func PrintTable(out io.Writer, site *Site, accounts []Account) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TEAM\tVERSION\tGUARANTEE\tLIMIT\tGRANTED\tADMITTED\tFAULT")
	for i := range accounts {
		a := &accounts[i]
		admitted := wire.Resources{}
		for _, r := range a.Usage.Admitted {
			admitted = sum(admitted, r)
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", a.Team, a.Version, amount(a.Guarantee), amount(a.Limit),
			amount(a.Usage.Granted), amount(admitted), a.Error)
		for part, id := range site.Shards {
			share, open := a.shareOf(part)
			used, admits := a.Usage.Admitted[part]
			if open || admits {
				fmt.Fprintf(table, "  %s\t\t\t%s\t\t%s\t\n", id.Name(), amount(share), amount(used))
			}
		}
	}
	return table.Flush()
}

// shareOf is the share of a shard.
func (a *Account) shareOf(part int) (wire.Resources, bool) {
	for _, s := range a.Shares {
		if s.Shard == part {
			return wire.Resources{Cores: s.Cores, GPUs: s.GPUs}, true
		}
	}
	return wire.Resources{}, false
}

// amount names what is not 0.
func amount(r wire.Resources) string {
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
