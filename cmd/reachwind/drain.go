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

// addDrain adds drain and undrain: of a gateway by its own admin address, and undrain of a target by the council's.
func addDrain(c *cobra.Command, admin *string, asJSON *bool) {
	var term, wait time.Duration
	var reason string
	ask := func(q fleet.DrainRequest) (a fleet.DrainResponse, err error) {
		body, err := json.Marshal(q)
		if err != nil {
			return a, err
		}
		if *admin == "" {
			return a, exitError{exUnavailable, errors.New("no address, want --admin host:port of the gateway")}
		}
		code, err := callFor(*admin, http.MethodPost, "/v1/drain", body, &a, term+wait+2*time.Minute)
		if err != nil && code != http.StatusBadRequest {
			err = exitError{exUnavailable, err}
		}
		return a, err
	}
	d := &cobra.Command{Use: "drain", Short: "have a gateway go out of service, by a permit of the council; returns once nothing is in work there", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			a, err := ask(fleet.DrainRequest{TermMs: term.Milliseconds(), WaitMs: wait.Milliseconds(), Reason: reason})
			if err == nil && a.Refused != "" {
				err = exitError{exTempFail, errors.New("not drained: " + a.Refused)}
			}
			if err != nil || *asJSON {
				return show(cmd.OutOrStdout(), a, err)
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s under permit %d, for %v more\n", a.State, a.Fence, (time.Duration(a.LeftMs) * time.Millisecond).Round(time.Second))
			return nil
		}}
	d.Flags().DurationVar(&term, "for", 5*time.Minute, "the permit's `span`; it is renewed while the gateway is out and the council is heard")
	d.Flags().DurationVar(&wait, "wait", 10*time.Second, "wait so long for the permit")
	d.Flags().StringVar(&reason, "reason", "", "for the history")
	c.AddCommand(d)

	var fence uint64
	back := &cobra.Command{Use: "undrain [TARGET]", Short: "have a gateway come back, by its own --admin; or tell the council that TARGET, whose permit ended, is back", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				a, err := ask(fleet.DrainRequest{Back: true})
				if err != nil || *asJSON {
					return show(cmd.OutOrStdout(), a, err)
				}
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), a.State)
				return nil
			}
			c := newCouncillors(*admin)
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
			return granted(c.do(time.Now().Add(10*time.Second), map[string]any{"op": "give_back", "target": args[0], "fence": fence}))
		}}
	back.Flags().Uint64Var(&fence, "fence", 0, "of the permit; 0: the one that the council knows")
	c.AddCommand(back)
}

// addVoters adds changes of the council's voters, one at a time, and the raise of its form.
func addVoters(c *cobra.Command, admin *string) {
	v := &cobra.Command{Use: "voter", Short: "change the council's voters, one at a time"}
	change := func(q map[string]any, done func(*status) bool) error {
		c := newCouncillors(*admin)
		body, err := json.Marshal(q)
		if err != nil {
			return err
		}
		why := errors.New("no voter answers")
		for until := time.Now().Add(time.Minute); time.Now().Before(until); time.Sleep(retryEach) {
			for _, a := range c.admins {
				var r result
				if code, err := call(a, http.MethodPost, "/v1/voter", body, &r); err == nil && code == http.StatusOK && !r.OK {
					why = errors.New(r.Refused)
				} else if err != nil {
					continue
				}
			}
			if s, err := c.status(); err == nil && s.Leading && done(s) {
				return nil
			}
		}
		return exitError{exUnavailable, fmt.Errorf("not changed within a minute: %w", why)}
	}
	var at string
	add := &cobra.Command{Use: "add NAME", Short: "add a voter that was started with --join: it learns the log first, then votes", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		var s status
		if err := ask(at, "/v1/status", &s); err != nil {
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
				if v.ID == s.ID && !v.Learns {
					return true
				}
			}
			return false
		})
	}}
	add.Flags().StringVar(&at, "at", "", "admin `address` of the new voter, which tells its folder's identity")
	remove := &cobra.Command{Use: "remove NAME", Short: "remove a voter: its folder has no vote from then on", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
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
	raise := &cobra.Command{Use: "raise", Short: "have the council use the newest form that all its voters speak, at once; there is no way back to an older program", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return granted(newCouncillors(*admin).do(time.Now().Add(10*time.Second), map[string]any{"op": "raise"}))
		}}
	c.AddCommand(v, raise)
}
