// Command micaport runs one controller of the cluster scheduler, and the operators' commands
// on team limits and on leader and standby.
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

// commandLine is the grammar of the command line: names and help texts are its fields' names
// and tags.
type commandLine struct {
	settingsFiles
	Version kong.VersionFlag `help:"Print the version and exit."`

	Serve  serveCommand `cmd:"" default:"withargs" help:"Run one controller until it is killed (the default)."`
	Limits struct {
		Show  limitsShowCommand  `cmd:"" help:"Show every team's limit, its shares, and what is used."`
		Apply limitsApplyCommand `cmd:"" help:"Change limits and guarantees of teams while the controllers serve."`
	} `cmd:"" help:"Limits of teams."`
	Standby struct {
		Show standbyShowCommand `cmd:"" help:"Show who leads, who stands by, how far each is, and the last takeovers."`
	} `cmd:"" help:"Leader and standby."`
}

func main() {
	if err := run(context.Background(), os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "micaport:", err)
		os.Exit(1)
	}
}

// run parses a command line and runs the command until it is done or ctx ends. Output goes to
// out.
func run(ctx context.Context, args []string, out io.Writer) error {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("micaport"),
		kong.Description("Runs one controller of the scheduler until it is killed. LOG_LEVEL (error, info, debug) governs what is logged to standard error."),
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

// newLogger returns a logger to standard error of the level that LOG_LEVEL names.
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

// version returns the version of the main module, as the build recorded it.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "devel"
}
