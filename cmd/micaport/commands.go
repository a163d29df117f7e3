package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"

	"micaport/internal/config"
	"micaport/internal/failoverctl"
	"micaport/internal/peer"
	"micaport/internal/quotactl"
	"micaport/internal/server"
	"micaport/internal/store"
)

// settingsFiles are the flags for the settings, which every command reads.
type settingsFiles struct {
	Config   string `help:"Settings file of the platform (JSON)." type:"path" placeholder:"FILE" env:"MICAPORT_CONFIG"`
	Operator string `help:"Settings of the operators (INI)." type:"path" placeholder:"FILE" env:"MICAPORT_OPERATOR"`

	Set map[string]string `help:"Override a setting of the operators' file." placeholder:"SECTION.NAME=VALUE"`
}

var errNoConfig = errors.New("--config FILE is required; see --help")

// load reads and validates the settings of both files. The error joins the violations of both.
func (f *settingsFiles) load() (*config.Settings, config.OperatorSettings, error) {
	if f.Config == "" {
		return nil, config.OperatorSettings{}, errNoConfig
	}
	settings, err := config.Load(f.Config)
	operator, operatorErr := config.LoadOperator(f.Operator, f.Set)
	if err == nil && operatorErr == nil {
		err = settings.ValidateOperator(operator)
	}
	return settings, operator, errors.Join(err, operatorErr)
}

// serveCommand runs a controller.
type serveCommand struct {
	Check bool `help:"Check the settings, report every violation, and exit."`
}

// Run runs the controller until ctx ends, or only checks the settings.
func (c *serveCommand) Run(ctx context.Context, files *settingsFiles, out io.Writer) error {
	settings, operator, err := files.load()
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintln(out, "settings are in order")
		return nil
	}
	// The platform's machines run one thread of a controller at a time, so more threads
	// would not run in parallel.
	runtime.GOMAXPROCS(1)
	return server.Run(ctx, settings, operator, newLogger())
}

// limitsShowCommand prints the accounts of all teams.
type limitsShowCommand struct {
	JSON bool `help:"Print JSON."`
}

// Run reads and prints the accounts.
func (c *limitsShowCommand) Run(ctx context.Context, files *settingsFiles, out io.Writer) error {
	settings, operator, err := files.load()
	if err != nil {
		return err
	}
	site := quotactl.NewSite(settings, operator)
	accounts, err := quotactl.Read(ctx, store.NewAdminClient(settings.External.State), site)
	if err != nil {
		return err
	}
	if c.JSON {
		return quotactl.PrintJSON(out, accounts)
	}
	return quotactl.PrintTable(out, site, accounts)
}

// limitsApplyCommand changes quotas and guarantees of teams.
type limitsApplyCommand struct {
	Changes string `arg:"" help:"File of the changes (INI): a section for each team." type:"path"`
	Check   bool   `help:"Report every violation without changing anything."`
}

// Run applies all changes of the file or none, or only checks them.
func (c *limitsApplyCommand) Run(ctx context.Context, files *settingsFiles, out io.Writer) error {
	settings, operator, err := files.load()
	if err != nil {
		return err
	}
	changes, err := config.LoadQuotaChanges(c.Changes)
	if err != nil {
		return err
	}
	records, site := store.NewAdminClient(settings.External.State), quotactl.NewSite(settings, operator)
	if err := quotactl.Apply(ctx, records, site, changes, c.Check); err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintln(out, "the changes are in order")
	} else {
		fmt.Fprintln(out, "changed")
	}
	return nil
}

// standbyShowCommand prints the leader, its standby and the last takeovers.
type standbyShowCommand struct {
	JSON bool `help:"Print JSON."`
}

// Run queries the controllers and prints their answers.
func (c *standbyShowCommand) Run(ctx context.Context, files *settingsFiles, out io.Writer) error {
	settings, _, err := files.load()
	if err != nil {
		return err
	}
	overview := failoverctl.Read(ctx, settings, store.NewAdminClient(settings.External.State), peer.QueryLeadership)
	if c.JSON {
		return failoverctl.PrintJSON(out, overview)
	}
	return failoverctl.PrintTable(out, overview)
}
