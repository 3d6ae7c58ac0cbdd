// Command reachwind is a database gateway: it accepts statements from clients,
// has package decide pick the member of the cluster for each, and returns exactly
// one answer. Its other commands query and operate gateways and their council.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/edgeconf"
	"reachwind/internal/gateway"
	"reachwind/internal/record"
)

// version is the program's version. The linker may set it.
var version = "0.1"

func main() {
	if err := execute(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "reachwind:", err)
		code := 1
		var e exitError
		if errors.As(err, &e) {
			code = e.code
		}
		os.Exit(code)
	}
}

// execute executes one command line.
func execute(args []string, out, errOut io.Writer) error {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	return root.Execute()
}

// newRootCommand builds the tree of commands with their flags.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{Use: "reachwind", Short: "A database gateway for a replicated store", SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			_ = c.Usage()
			return errors.New("no command given, want one of those listed above")
		}}
	var path, edge, level string
	flags := root.PersistentFlags()
	flags.StringVarP(&path, "config", "c", os.Getenv("NODE_CONFIG"), "configuration `file` (NODE_CONFIG)")
	flags.StringVarP(&edge, "edge", "e", os.Getenv("REACHWIND_EDGE"), "product configuration `file` (REACHWIND_EDGE)")
	flags.StringVar(&level, "log-level", "info", "lowest `level` logged: debug, info, warn or error")
	var clockOffset time.Duration
	var reportedVersion string
	var minLevel slog.Level
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if err := minLevel.UnmarshalText([]byte(level)); err != nil {
			return fmt.Errorf("log-level: %w", err)
		}
		return nil
	}
	serve := &cobra.Command{Use: "serve", Short: "run the gateway until SIGTERM or SIGINT", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			logs := newLogWriter(c.ErrOrStderr())
			defer logs.flush()
			records := record.NewHandler(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: minLevel}))
			conf, err := gateway.LoadForServing(path, slog.New(records))
			if err != nil {
				return err
			}
			return gateway.Serve(conf, gateway.Options{ConfigPath: path, EdgePath: edge, Version: cmp.Or(reportedVersion, version), Log: slog.New(records), Records: records,
				WallClock: func() time.Time { return time.Now().Add(clockOffset) }})
		}}
	serve.Flags().DurationVar(&clockOffset, "clock-offset", 0, "offset of the fleet's wall clock by this `span`; for test labs")
	serve.Flags().StringVar(&reportedVersion, "say-version", "", "report this `version` to peers and the council; for test labs")
	_ = serve.Flags().MarkHidden("clock-offset")
	_ = serve.Flags().MarkHidden("say-version")
	root.AddCommand(serve)
	root.AddCommand(&cobra.Command{Use: "check", Short: "read the configuration, report its faults, and exit", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return printCheck(c.OutOrStdout(), path, edge) }})
	root.AddCommand(&cobra.Command{Use: "version", Short: "print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { _, _ = fmt.Fprintln(c.OutOrStdout(), "reachwind", version) }})
	root.AddCommand(spoolCommand(), fleetCommand(), councilCommand())
	return root
}

// printCheck validates the configuration files and prints a summary of them and of how the limits are divided.
func printCheck(out io.Writer, path, edgePath string) error {
	c, err := gateway.Load(path)
	if err != nil {
		return err
	}
	edge := new(gateway.Edge)
	if edgePath != "" {
		if edge, err = gateway.LoadEdge(edgePath, c); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(out, "ok: %s listens on %s, %d members known, %d classes\n",
		c.Name, c.Listen, len(c.Known), len(c.Decide.Classes))
	b := c.Budget(edge)
	_, _ = fmt.Fprintf(out, "descriptors: %d for clients, %d for members, %d for parts\n", b.ClientConnections, b.MemberConnections, b.SubsystemDescriptors)
	_, _ = fmt.Fprintf(out, "memory: %d buffers and %d small ones of %s in all, %s for parts\n", b.Buffers, b.SmallBuffers, edgeconf.FormatSize(b.BufferBytes), edgeconf.FormatSize(b.SubsystemBytes))
	if s := edge.Syslog; s != nil {
		_, _ = fmt.Fprintf(out, "syslog: %d collectors, %d routes, queue %s", len(s.Collectors), len(s.Routes), edgeconf.FormatSize(int64(s.Memory)))
		if s.Spool != "" {
			_, _ = fmt.Fprintf(out, ", spool %s up to %s", s.Spool, edgeconf.FormatSize(s.Disk))
		}
		_, _ = fmt.Fprintln(out)
	}
	if f := edge.Fleet; f != nil {
		_, _ = fmt.Fprintf(out, "fleet: %s, %d seeds, %s a second, %d routes\n", f.Listen, len(f.Seeds), edgeconf.FormatSize(int64(f.Bytes)), len(f.Routes))
	}
	return nil
}
