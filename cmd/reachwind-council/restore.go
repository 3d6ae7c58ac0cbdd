package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"reachwind/internal/fleet/council"
)

// restoreCommand returns the subcommand that creates a new council from one folder of a lost one.
func restoreCommand() *cobra.Command {
	var from, into, name, lost, confirm string
	c := &cobra.Command{Use: "restore", Short: "make a new council of one voter from one folder of a council that has lost its majority for good", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var names []string
			for _, n := range strings.Split(lost, ",") {
				if n = strings.TrimSpace(n); n != "" {
					names = append(names, n)
				}
			}
			who, _ := os.Hostname()
			r, err := council.Restore(from, into, name, names, confirm, who)
			if r.Confirm != "" {
				_, _ = fmt.Fprintf(c.OutOrStdout(), "log up to %d, %d entries after its snapshot; other voters: %s; targets of %d permits count as out until seen back; releases halted: %s\n",
					r.Index, r.Applied, strings.Join(r.Voters, ","), r.Permits, strings.Join(r.Halted, ","))
			}
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.OutOrStdout(), "%s holds a new council of one voter: start %s on it, then add the others, with empty folders, by `reachwind fleet voter add`\n", into, name)
			return nil
		}}
	f := c.Flags()
	f.StringVar(&from, "from", "", "the remaining `folder`; it is not changed")
	f.StringVar(&into, "into", "", "the new `folder`, which must not exist")
	f.StringVar(&name, "name", "", "`name` of the one voter of the new council")
	f.StringVar(&lost, "lost", "", "`names` of all other voters, separated by commas, which must be gone for good")
	f.StringVar(&confirm, "confirm", "", "the confirmation `word` that a run without this flag prints")
	for _, n := range []string{"from", "into", "name"} {
		_ = c.MarkFlagRequired(n)
	}
	return c
}
