// Command reachwind is a database gateway: it takes statements from clients,
// lets package decide pick the member of the cluster for each, and passes back
// the one answer.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/spf13/pflag"
)

// version may be set by the linker.
var version = "0.1"

const usage = `Usage: reachwind COMMAND [flags]

Commands:
  serve    run the gateway
  check    read the configuration, report the first fault, and exit
  version  print the version

Flags:
`

func main() {
	if err := command(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "reachwind:", err)
		os.Exit(1)
	}
}

// command carries out one command line.
func command(args []string, out, errs io.Writer) error {
	flags := pflag.NewFlagSet("reachwind", pflag.ContinueOnError)
	flags.SetOutput(errs)
	path := flags.StringP("config", "c", os.Getenv("NODE_CONFIG"), "configuration `file` (NODE_CONFIG)")
	level := flags.String("log-level", "info", "least `level` logged: debug, info, warn or error")
	flags.Usage = func() { _, _ = fmt.Fprint(errs, usage, flags.FlagUsages()) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return nil
		}
		return err
	}
	if flags.NArg() != 1 {
		flags.Usage()
		return errors.New("one command is wanted")
	}
	var least slog.Level
	if err := least.UnmarshalText([]byte(*level)); err != nil {
		return fmt.Errorf("log-level: %w", err)
	}
	switch name := flags.Arg(0); name {
	case "serve":
		c, err := load(*path)
		if err != nil {
			return err
		}
		logs := newLogWriter(errs)
		defer logs.flush()
		return serve(c, *path, slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: least})))
	case "check":
		c, err := load(*path)
		if err == nil {
			_, _ = fmt.Fprintf(out, "ok: %s listens on %s, %d members known, %d classes\n",
				c.name, c.listen, len(c.known), len(c.decide.Classes))
		}
		return err
	case "version":
		_, _ = fmt.Fprintln(out, "reachwind", version)
		return nil
	default:
		return fmt.Errorf("unknown command %q", name)
	}
}
