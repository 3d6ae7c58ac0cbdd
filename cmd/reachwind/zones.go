package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// zoneLine is a line of `reachwind fleet zones`.
type zoneLine struct {
	Zone         string             `json:"zone"`
	Region       string             `json:"region"`
	State        string             `json:"state"`
	Plan         uint64             `json:"plan"`
	UntilMs      int64              `json:"until_ms"`
	Reason       string             `json:"reason"`
	Destinations map[string]float64 `json:"goes_to"`
	AwayFraction float64            `json:"away"`
	ShedFraction float64            `json:"shed"`
	Held         bool               `json:"held"`
}

// addZoneCommands adds the command that lists zones, and those by which an operator steers one.
func addZoneCommands(c *cobra.Command, admin *string, asJSON *bool) {
	c.AddCommand(&cobra.Command{Use: "zones", Short: "show the state of each zone, and where its load goes", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		s, err := newCouncilClient(*admin).status()
		if err != nil {
			return err
		}
		if s.Zones == nil {
			return errors.New("there is no zone plan: the council's configuration names no zones, or no gateway has reported yet")
		}
		lines := []zoneLine{}
		for _, name := range slices.Sorted(maps.Keys(s.Zones.Zones)) {
			e := s.Zones.Zones[name]
			lines = append(lines, zoneLine{name, e.Region, e.State, s.Zones.Number, s.Zones.Until, e.Reason, e.GoesTo, e.Away, e.Shed, e.Held})
		}
		if *asJSON {
			return writeJSON(cmd.OutOrStdout(), lines, nil)
		}
		out := cmd.OutOrStdout()
		_, _ = fmt.Fprintf(out, "plan %d, for %v more\n", s.Zones.Number, time.Duration(s.Zones.Until-s.TimeMs)*time.Millisecond)
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "ZONE\tREGION\tSTATE\tAWAY\tGOES TO\tSHED\tHELD\tREASON")
		for _, l := range lines {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%s\t%.2f\t%v\t%s\n", l.Zone, l.Region, l.State, l.AwayFraction, formatMap(l.Destinations), l.ShedFraction, l.Held, l.Reason)
		}
		return w.Flush()
	}})
	zone := &cobra.Command{Use: "zone", Short: "steer a zone"}
	for _, action := range [][2]string{{"out", "move a zone's load away, in steps, and keep it away"}, {"back", "let a zone's load come back, and resume automatic changes"}, {"hold", "suspend automatic changes of a zone"}} {
		var reason string
		steer := &cobra.Command{Use: action[0] + " ZONE", Short: action[1], Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			return checkResult(newCouncilClient(*admin).submit(time.Now().Add(10*time.Second), map[string]any{"op": "zone", "name": args[0], "steer": action[0], "reason": reason}))
		}}
		steer.Flags().StringVar(&reason, "reason", "", "reason shown in the plan and the history")
		zone.AddCommand(steer)
	}
	c.AddCommand(zone)
}
