// Command windlab is the project's laboratory: stand-ins of outside systems, load,
// and experiments that start real gateways, play a script and check what is
// promised. All of it stays on loopback, is bounded in count and time, and ends by
// itself.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "windlab", Short: "the laboratory of reachwind", SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			_ = c.Usage()
			return errors.New("one command is wanted")
		}}
	root.AddCommand(collectCommand(), membersCommand(), loadCommand(), runCommand(), spoolWriterCommand(), fleetlogCommand(), scenarioCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "windlab:", err)
		os.Exit(1)
	}
}
