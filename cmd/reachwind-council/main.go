// Command reachwind-council runs one voter of the fleet's council. It is a separate
// program because consensus and its storage would cost every gateway memory;
// `reachwind council` starts it.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"reachwind/internal/fleet/council"
)

func main() {
	var path, level string
	var join bool
	root := &cobra.Command{Use: "reachwind-council", Short: "one voter of the fleet's council", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				return errors.New("no configuration: use --config")
			}
			conf, err := council.LoadConfig(path)
			if err != nil {
				return err
			}
			conf.Join = join
			var least slog.Level
			if err := least.UnmarshalText([]byte(level)); err != nil {
				return fmt.Errorf("log-level: %w", err)
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return council.Run(ctx, *conf, slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: least})))
		}}
	root.Flags().StringVarP(&path, "config", "c", "", "configuration `file`")
	root.Flags().StringVar(&level, "log-level", "info", "lowest `level` logged: debug, info, warn or error")
	root.Flags().BoolVar(&join, "join", false, "join an existing council: with an empty folder this voter does not found one, and waits until it is added")
	root.AddCommand(restoreCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "reachwind-council:", err)
		os.Exit(1)
	}
}
