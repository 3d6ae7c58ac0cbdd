package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/fleet"
)

// addDrainCommands adds the commands drain and undrain, which are directed to a gateway's admin address; undrain of a named
// target is directed to the council's.
func addDrainCommands(c *cobra.Command, admin *string, asJSON *bool) {
	var term, wait time.Duration
	var reason string
	request := func(q fleet.DrainRequest) (a fleet.DrainResponse, err error) {
		body, err := json.Marshal(q)
		if err != nil {
			return a, err
		}
		if *admin == "" {
			return a, exitError{exUnavailable, errors.New("no address, want --admin host:port of the gateway")}
		}
		code, err := callAdminWithin(*admin, http.MethodPost, "/v1/drain", body, &a, term+wait+2*time.Minute)
		if err != nil && code != http.StatusBadRequest {
			err = exitError{exUnavailable, err}
		}
		return a, err
	}
	d := &cobra.Command{Use: "drain", Short: "take a gateway out of service under a permit of the council; returns once it has no more requests in progress", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := request(fleet.DrainRequest{TermMs: term.Milliseconds(), WaitMs: wait.Milliseconds(), Reason: reason})
			if err == nil && a.Refused != "" {
				err = exitError{exTempFail, errors.New("not drained: " + a.Refused)}
			}
			if err != nil || *asJSON {
				return writeJSON(cmd.OutOrStdout(), a, err)
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s under permit %d, for %v more\n", a.State, a.Fence, (time.Duration(a.LeftMs) * time.Millisecond).Round(time.Second))
			return nil
		}}
	d.Flags().DurationVar(&term, "for", 5*time.Minute, "the permit's `span`; it is renewed while the gateway is out and can reach the council")
	d.Flags().DurationVar(&wait, "wait", 10*time.Second, "how long to wait for the permit")
	d.Flags().StringVar(&reason, "reason", "", "reason shown in the history")
	c.AddCommand(d)

	var fence uint64
	undrain := &cobra.Command{Use: "undrain [TARGET]", Short: "put a gateway back into service, by its own --admin address; or tell the council that TARGET, whose permit ended, is back", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				a, err := request(fleet.DrainRequest{Back: true})
				if err != nil || *asJSON {
					return writeJSON(cmd.OutOrStdout(), a, err)
				}
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), a.State)
				return nil
			}
			c := newCouncilClient(*admin)
			if fence == 0 {
				s, err := c.status()
				if err != nil {
					return err
				}
				for _, p := range s.Permits {
					if p.Target == args[0] {
						fence = p.Fence
					}
				}
			}
			return checkResult(c.submit(time.Now().Add(10*time.Second), map[string]any{"op": "give_back", "target": args[0], "fence": fence}))
		}}
	undrain.Flags().Uint64Var(&fence, "fence", 0, "fence of the permit; 0: as the council lists it")
	c.AddCommand(undrain)
}

// addVoterCommands adds the commands that add and remove voters of the council, and the one that raises its format version.
func addVoterCommands(c *cobra.Command, admin *string) {
	v := &cobra.Command{Use: "voter", Short: "change the council's voters, one at a time"}
	change := func(q map[string]any, done func(*status) bool) error {
		c := newCouncilClient(*admin)
		body, err := json.Marshal(q)
		if err != nil {
			return err
		}
		lastErr := errors.New("no voter answers")
		for until := time.Now().Add(time.Minute); time.Now().Before(until); time.Sleep(retryInterval) {
			for _, a := range c.addresses {
				var r result
				if code, err := callAdmin(a, http.MethodPost, "/v1/voter", body, &r); err == nil && code == http.StatusOK && !r.OK {
					lastErr = errors.New(r.RefusalReason)
				} else if err != nil {
					continue
				}
			}
			if s, err := c.status(); err == nil && s.Leading && done(s) {
				return nil
			}
		}
		return exitError{exUnavailable, fmt.Errorf("not changed within a minute: %w", lastErr)}
	}
	var at string
	add := &cobra.Command{Use: "add NAME", Short: "add a voter that was started with --join: it replicates the log first, then votes", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		var s status
		if err := getAdmin(at, "/v1/status", &s); err != nil {
			return err
		}
		address := ""
		for _, v := range s.Voters {
			if v.ID == s.ID {
				address = v.Address
			}
		}
		if address == "" {
			address = s.Listen
		}
		return change(map[string]any{"name": args[0], "address": address, "identity": s.Identity, "id": s.ID}, func(now *status) bool {
			for _, v := range now.Voters {
				if v.ID == s.ID && !v.Learning {
					return true
				}
			}
			return false
		})
	}}
	add.Flags().StringVar(&at, "at", "", "admin `address` of the new voter, which reports its folder's identity")
	remove := &cobra.Command{Use: "remove NAME", Short: "remove a voter for good: its folder can't vote again", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		return change(map[string]any{"name": args[0], "leave": true}, func(now *status) bool {
			for _, v := range now.Voters {
				if v.Name == args[0] {
					return false
				}
			}
			return true
		})
	}}
	v.AddCommand(add, remove)
	raise := &cobra.Command{Use: "raise", Short: "switch the council at once to the newest format version that all its voters support; older programs can't be used afterwards", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return checkResult(newCouncilClient(*admin).submit(time.Now().Add(10*time.Second), map[string]any{"op": "raise"}))
		}}
	c.AddCommand(v, raise)
}
