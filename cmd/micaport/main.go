// Command micaport is one controller of a cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"micaport/internal/config"
	"micaport/internal/node"
)

type cli struct {
	Config   string           `help:"Settings file of the platform (JSON)." type:"path" placeholder:"FILE" env:"MICAPORT_CONFIG"`
	Operator string           `help:"Settings of the operators (INI)." type:"path" placeholder:"FILE" env:"MICAPORT_OPERATOR"`
	Check    bool             `help:"Check the settings, name every fault, and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("micaport"),
		kong.Description("Runs one controller of the scheduler until it is killed. LOG_LEVEL (error, info, debug) governs what is logged to standard error."),
		kong.Vars{"version": version()})
	if err := run(&c); err != nil {
		fmt.Fprintln(os.Stderr, "micaport:", err)
		os.Exit(1)
	}
}

func run(c *cli) error {
	if c.Config == "" {
		return fmt.Errorf("--config FILE is required; see --help")
	}
	s, err := config.Load(c.Config)
	op, opErr := config.LoadOperator(c.Operator)
	if err != nil && opErr != nil {
		return fmt.Errorf("%w\n%w", err, opErr)
	} else if err != nil {
		return err
	} else if opErr != nil {
		return opErr
	}
	if c.Check {
		fmt.Println("settings are in order")
		return nil
	}
	// One thread runs at a time on the platform's machines; more would only
	// take turns.
	runtime.GOMAXPROCS(1)
	return node.Run(context.Background(), s, op, logger())
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
