package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/lab/load"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/pgclient"
)

// membersCommand is a cluster to try the gateway on.
func membersCommand() *cobra.Command {
	var conf cluster.Config
	var out, listen string
	var last time.Duration
	c := &cobra.Command{Use: "members", Short: "run a cluster of stand-ins with primary, replicas, lag and discovery", Args: cobra.NoArgs}
	flags := c.Flags()
	flags.IntVar(&conf.Groups, "groups", 1, "groups")
	flags.IntVar(&conf.Replicas, "replicas", 2, "replicas of each")
	flags.DurationVar(&conf.Lag, "lag", 10*time.Millisecond, "by which replicas are behind")
	flags.DurationVar(&conf.Work, "work", 2*time.Millisecond, "time that a statement takes")
	flags.IntVar(&conf.Slots, "slots", 64, "statements at once in a member")
	flags.IntVar(&conf.Ports, "ports", 6500, "first port: discovery, then members; 0: any")
	flags.DurationVar(&conf.Elect, "elect", 2*time.Second, "after which a replica takes over")
	flags.StringVar(&out, "config", "", "write a gateway's configuration for it to this `file`")
	flags.StringVar(&listen, "listen", "127.0.0.1:6432", "`address` that the configuration has the gateway listen at")
	flags.DurationVar(&last, "for", time.Hour, "end after `so long`")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := loopback(listen); err != nil {
			return err
		}
		k, err := cluster.Start(conf)
		if err != nil {
			return err
		}
		defer k.Close()
		if out != "" {
			if err := os.WriteFile(out, k.GatewayConfig("gateway-0", listen, 192, 1024), 0o644); err != nil {
				return err
			}
		}
		_, _ = fmt.Fprintf(c.OutOrStdout(), "discovery at %s\n", k.Discovery())
		for _, m := range k.Members() {
			role := "replica"
			if m.IsPrimary() {
				role = "primary"
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "%s of group %d at %s, %s\n", m.ID, m.Group, m.Addr, role)
		}
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(last):
		}
		return nil
	}
	return c
}

// loadCommand asks a gateway.
func loadCommand() *cobra.Command {
	var addr, jsonFile string
	var rate float64
	var last time.Duration
	var conns, groups int
	var seed uint64
	c := &cobra.Command{Use: "load", Short: "ask a gateway by an open loop and tell latencies", Args: cobra.NoArgs}
	flags := c.Flags()
	flags.StringVar(&addr, "gateway", "127.0.0.1:6432", "`address` of the gateway, on loopback")
	flags.Float64Var(&rate, "rate", 200, "requests a second")
	flags.DurationVar(&last, "for", 10*time.Second, "ask for `so long`, ten minutes at most")
	flags.IntVar(&conns, "conns", 64, "connections")
	flags.IntVar(&groups, "groups", 1, "groups that are asked for")
	flags.Uint64Var(&seed, "seed", 1, "of the arrivals")
	flags.StringVar(&jsonFile, "json", "", "write the figures to this `file` too")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := loopback(addr); err != nil {
			return err
		}
		if rate <= 0 || rate > 100_000 || last <= 0 || last > 10*time.Minute || conns < 1 || conns > 4096 {
			return fmt.Errorf("want a rate up to 100000, up to 10 minutes and up to 4096 connections")
		}
		res, err := load.Run(c.Context(), load.Config{Addr: addr, Phases: []load.Phase{{Rate: rate, For: last}}, Conns: conns, Groups: groups,
			Seed: seed, Prefix: fmt.Sprintf("%x-", time.Now().UnixNano())})
		if err != nil {
			return err
		}
		out := c.OutOrStdout()
		_, _ = fmt.Fprintf(out, "%d planned in %.1f s, %d unsent", res.Planned, res.Elapsed.Seconds(), res.Unsent)
		for i, n := range res.Outcomes {
			_, _ = fmt.Fprintf(out, ", %d %s", n, pgclient.Names[i])
		}
		_, _ = fmt.Fprintf(out, "\nserved within: p50 %v, p90 %v, p99 %v, p99.9 %v, all %v\n", res.Quantile(0.5), res.Quantile(0.9), res.Quantile(0.99),
			res.Quantile(0.999), res.Quantile(1))
		if jsonFile == "" {
			return nil
		}
		text, err := json.MarshalIndent(map[string]any{"planned": res.Planned, "unsent": res.Unsent, "outcomes": res.Outcomes,
			"p50_us": res.Quantile(0.5).Microseconds(), "p99_us": res.Quantile(0.99).Microseconds(), "p999_us": res.Quantile(0.999).Microseconds()}, "", "  ")
		if err != nil {
			return err
		}
		return os.WriteFile(jsonFile, append(text, '\n'), 0o644)
	}
	return c
}
