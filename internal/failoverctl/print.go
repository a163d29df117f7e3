package failoverctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"micaport/internal/wire"
)

// PrintJSON writes an overview as JSON.
func PrintJSON(out io.Writer, o *Overview) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(o)
}

// PrintTable writes an overview as two tables, one of the controllers and one of the takeovers.
func PrintTable(out io.Writer, o *Overview) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printControllers(table, o.Controllers)
	if err := table.Flush(); err != nil {
		return err
	}
	switch {
	case o.TakeoversError != "":
		fmt.Fprintf(out, "\nthe last takeovers can't be read: %s\n", o.TakeoversError)
		return nil
	case len(o.Takeovers) == 0:
		fmt.Fprintln(out, "\nno takeovers")
		return nil
	}
	fmt.Fprintln(out)
	printTakeovers(table, o.Takeovers)
	return table.Flush()
}

// printControllers writes a line for each controller.
func printControllers(table io.Writer, controllers []Controller) {
	fmt.Fprintln(table, "CONTROLLER\tROLE\tLEADER\tTERM\tLAG\tSILENCE\tLOG\tTAKEOVER\tFORMAT\tFAULT")
	for i := range controllers {
		c := &controllers[i]
		if c.QueryError != "" {
			fmt.Fprintf(table, "%s\t?\t\t\t\t\t\t\t\t%s\n", c.Controller, c.QueryError)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%d\t%s\n", c.Controller, c.role(), c.leader(), c.Term, c.Lag,
			c.silence(), c.decisionLogStatus(), c.takeoverSetting(), c.Agreed, c.stateServiceFault())
	}
}

// takeoverStages is the number of stages of a takeover that have a column.
const takeoverStages = 5

// printTakeovers writes a line for each takeover.
func printTakeovers(table io.Writer, takeovers []wire.Takeover) {
	fmt.Fprintln(table, "TAKEOVER\tFROM\tTO\tSILENCE\tSUSPECTED BY\tSUSPECTED\tCLAIMED\tSEEN\tCAUGHT UP\tDECIDED")
	for i := range takeovers {
		printTakeover(table, &takeovers[i])
	}
}

// printTakeover writes the line of a takeover. The time of each stage is counted from the last
// heartbeat of the replaced leader.
func printTakeover(table io.Writer, t *wire.Takeover) {
	silence := fmt.Sprintf("%d ms", t.SilenceMS)
	if t.Broken {
		silence += ", connection broken"
	}
	times := make([]string, takeoverStages)
	for i := range times {
		times[i] = "-"
		if i < len(t.StagesMS) {
			times[i] = fmt.Sprintf("%d ms", t.StagesMS[i])
		}
	}
	fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d of %d, %d hear it\t%s\n", time.UnixMilli(t.At).UTC().Format(time.RFC3339), t.From, t.To, silence,
		t.Suspecting, t.Members, t.Hearing, strings.Join(times, "\t"))
}

// role returns the controller's role according to its own status.
func (c *Controller) role() string {
	switch c.Controller {
	case c.Leader:
		return "leads"
	case c.Standby:
		return "stands by"
	}
	return "follows"
}

// leader returns the leader according to the controller's status.
func (c *Controller) leader() string {
	if c.Leader == "" {
		return "-"
	}
	return c.Leader
}

// silence returns the time since the leader's last heartbeat, and how many controllers suspect
// the leader. It returns "-" for the leader itself, and while the leader is not fenced, as an
// early takeover is then impossible.
func (c *Controller) silence() string {
	if !c.Fenced || c.Controller == c.Leader {
		return "-"
	}
	text := fmt.Sprintf("%d ms", c.SilenceMS)
	if c.Suspected {
		text += fmt.Sprintf(", suspected by %d", c.Suspecting)
	}
	return text
}

// decisionLogStatus returns the state of the decision log: for the leader how far its standby
// is behind, and for other controllers how many facts of the leader's log they have stored.
func (c *Controller) decisionLogStatus() string {
	switch {
	case !c.Fenced:
		return "-"
	case c.Controller == c.Leader && c.Standby == "":
		return "no standby"
	case c.Controller == c.Leader:
		return fmt.Sprintf("%d facts behind, begun anew %d times", c.LogFacts, c.LogResyncs)
	case c.Controller == c.Standby || c.LogHeld > 0:
		return fmt.Sprintf("%d facts, %d messages dropped", c.LogHeld, c.LogDropped)
	}
	return "-"
}

// takeoverSetting returns the controller's takeover setting, and whether an early takeover is
// impossible because the leader is not fenced.
func (c *Controller) takeoverSetting() string {
	switch {
	case !c.Early:
		return "lease"
	case c.Leader != "" && !c.Fenced:
		return "early, the leader is not fenced"
	}
	return "early"
}

// stateServiceFault returns "refused by the state service" if the state service does not answer
// the controller, and otherwise an empty string.
func (c *Controller) stateServiceFault() string {
	if !c.Served {
		return "refused by the state service"
	}
	return ""
}
