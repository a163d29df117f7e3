// Command micaport runs a controller of the cluster scheduler. It also has the operators'
// commands that show and change the limits of teams, and that show the leader and its standby.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// commandLine defines the commands and flags for kong, which derives their names from the names
// of the fields and the help texts from the tags.
type commandLine struct {
	settingsFiles
	Version kong.VersionFlag `help:"Print the version and exit."`

	Serve  serveCommand `cmd:"" default:"withargs" help:"Run one controller until it is killed (the default)."`
	Limits struct {
		Show  limitsShowCommand  `cmd:"" help:"Show the limit, the shares and the usage of every team."`
		Apply limitsApplyCommand `cmd:"" help:"Change limits and guarantees of teams while the controllers serve."`
	} `cmd:"" help:"Limits of teams."`
	Standby struct {
		Show standbyShowCommand `cmd:"" help:"Show the leader, its standby, the lag of every controller, and the last takeovers."`
	} `cmd:"" help:"Leader and standby."`
}

func main() {
	if err := run(context.Background(), os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "micaport:", err)
		os.Exit(1)
	}
}

// run parses a command line and runs the command, which writes its output to out, until the
// command is done or ctx ends.
func run(ctx context.Context, args []string, out io.Writer) error {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("micaport"),
		kong.Description("Runs one controller of the scheduler until it is killed. LOG_LEVEL (error, info, debug) is the level of the log on standard error."),
		kong.Vars{"version": version()}, kong.BindTo(out, (*io.Writer)(nil)), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(&line.settingsFiles))
	if err != nil {
		return err
	}
	command, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return command.Run()
}

// newLogger returns a logger that writes to standard error, with the level of LOG_LEVEL.
func newLogger() *slog.Logger {
	level := slog.LevelInfo
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// version returns the version of the main module from the build information.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "devel"
}
