// Command micaport is one controller of a cluster scheduler, and its operators' tools.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"micaport/internal/config"
	"micaport/internal/failoverctl"
	"micaport/internal/peer"
	"micaport/internal/quotactl"
	"micaport/internal/server"
	"micaport/internal/store"
)

// commandLine is what the program can be asked to do.
type commandLine struct {
	files
	Version kong.VersionFlag `help:"Print the version and exit."`

	Serve  serveCommand `cmd:"" default:"withargs" help:"Run one controller until it is killed (the default)."`
	Limits struct {
		Show  showLimits  `cmd:"" help:"Show every team's limit, its shares, and what is used."`
		Apply applyLimits `cmd:"" help:"Change limits and guarantees of teams while the controllers serve."`
	} `cmd:"" help:"Limits of teams."`
	Standby struct {
		Show showStandby `cmd:"" help:"Show who leads, who stands by, how far each is, and the last takeovers."`
	} `cmd:"" help:"Leader and standby."`
}

// files are the settings that every command reads.
type files struct {
	Config   string `help:"Settings file of the platform (JSON)." type:"path" placeholder:"FILE" env:"MICAPORT_CONFIG"`
	Operator string `help:"Settings of the operators (INI)." type:"path" placeholder:"FILE" env:"MICAPORT_OPERATOR"`

	Set map[string]string `help:"A setting of the operators by name, instead of the file's." placeholder:"SECTION.NAME=VALUE"`
}

var errNoConfig = errors.New("--config FILE is required; see --help")

// load reads and checks both files; the error names the faults of both.
func (f *files) load() (*config.Settings, config.OperatorSettings, error) {
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
	Check bool `help:"Check the settings, name every fault, and exit."`
}

// Run serves until killed.
func (c *serveCommand) Run(f *files, out io.Writer) error {
	settings, operator, err := f.load()
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintln(out, "settings are in order")
		return nil
	}
	// One thread runs at a time on the platform's machines; more would only
	// take turns.
	runtime.GOMAXPROCS(1)
	return server.Run(context.Background(), settings, operator, logger())
}

// showLimits prints accounts.
type showLimits struct {
	JSON bool `help:"Print JSON."`
}

// Run reads the accounts and prints them.
func (c *showLimits) Run(f *files, out io.Writer) error {
	settings, operator, err := f.load()
	if err != nil {
		return err
	}
	site := quotactl.SiteOf(settings, operator)
	accounts, err := quotactl.Read(store.NewAdminClient(settings.External.State), site)
	if err != nil {
		return err
	}
	if c.JSON {
		return quotactl.PrintJSON(out, accounts)
	}
	return quotactl.PrintTable(out, site, accounts)
}

// applyLimits changes accounts.
type applyLimits struct {
	Changes string `arg:"" help:"File of the changes (INI): a section for each team." type:"path"`
	Check   bool   `help:"Name every fault, and change nothing."`
}

// Run makes the changes, all of them or none.
func (c *applyLimits) Run(f *files, out io.Writer) error {
	settings, operator, err := f.load()
	if err != nil {
		return err
	}
	changes, err := config.LoadQuotaChanges(c.Changes)
	if err != nil {
		return err
	}
	if err := quotactl.Apply(store.NewAdminClient(settings.External.State), quotactl.SiteOf(settings, operator), changes, c.Check); err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintln(out, "the changes are in order")
	} else {
		fmt.Fprintln(out, "changed")
	}
	return nil
}

// showStandby prints who leads and who stands by.
type showStandby struct {
	JSON bool `help:"Print JSON."`
}

// Run asks the controllers and prints their answers.
func (c *showStandby) Run(f *files, out io.Writer) error {
	settings, _, err := f.load()
	if err != nil {
		return err
	}
	overview := failoverctl.Read(settings, store.NewAdminClient(settings.External.State), peer.QueryLeadership)
	if c.JSON {
		return failoverctl.PrintJSON(out, overview)
	}
	return failoverctl.PrintTable(out, overview)
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "micaport:", err)
		os.Exit(1)
	}
}

// run parses a command line and does what it says.
func run(args []string, out io.Writer) error {
	var c commandLine
	parser, err := kong.New(&c, kong.Name("micaport"),
		kong.Description("Runs one controller of the scheduler until it is killed. LOG_LEVEL (error, info, debug) governs what is logged to standard error."),
		kong.Vars{"version": version()}, kong.BindTo(out, (*io.Writer)(nil)), kong.Bind(&c.files))
	if err != nil {
		return err
	}
	command, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return command.Run()
}

func logger() *slog.Logger {
	level := slog.LevelInfo
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "devel"
}
