package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/fleet"
	"reachwind/internal/fleet/observation"
	"reachwind/internal/fleet/view"
)

// exitError has the process end with a code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e exitError) Error() string { return e.err.Error() }

// exUnavailable is the exit code where a process that is asked does not answer (sysexits.h).
const exUnavailable = 69

const (
	askWait = 3 * time.Second
	askMost = 8 << 20
)

// fleetCommand asks running gateways.
func fleetCommand() *cobra.Command {
	var admin string
	var asJSON bool
	c := &cobra.Command{Use: "fleet", Short: "ask a running gateway about its group"}
	flags := c.PersistentFlags()
	flags.StringVar(&admin, "admin", "", "admin `address` of the gateway")
	flags.BoolVar(&asJSON, "json", false, "for tools")
	add := func(use, short string, run func(out io.Writer) error) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return run(c.OutOrStdout()) }})
	}
	add("members", "who is there, as one gateway takes it", func(out io.Writer) error {
		var all []fleet.Member
		if err := ask(admin, "/v1/members", &all); err != nil || asJSON {
			return show(out, all, err)
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "NAME\tZONE\tREGION\tSTATE\tSURE\tSINCE\tEPOCH\tVERDICT\tRTT\tADDRESS\tVERSION")
		for _, m := range all {
			name, state := m.Name, m.State
			if m.Self {
				name += " (asked)"
			}
			if m.Drain {
				state += ", drains"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%v\t%d\t%s\t%.1f ms\t%s\t%s\n", name, m.Zone, m.Region, state, m.Confidence,
				(time.Duration(m.SinceMs) * time.Millisecond).Round(100*time.Millisecond), m.Epoch, m.Verdict, m.RTTMs, m.Address, m.Version)
		}
		return w.Flush()
	})
	add("view", "what a gateway takes its own place for, and why", func(out io.Writer) error {
		var v fleet.View
		if err := ask(admin, "/v1/view", &v); err != nil || asJSON {
			return show(out, v, err)
		}
		_, _ = fmt.Fprintf(out, "%s, epoch %d: %s (number %d) since %v\n", v.Name, v.Epoch, v.Verdict, v.Number,
			(time.Duration(v.SinceMs) * time.Millisecond).Round(100*time.Millisecond))
		for _, r := range v.Reasons {
			_, _ = fmt.Fprintln(out, " ", r)
		}
		_, _ = fmt.Fprintln(out, "parts of shared budgets, 1 = its own:", pairs(v.Quotas))
		_, _ = fmt.Fprintln(out, "counts:", pairs(v.Counts))
		if s := v.Council; s != nil {
			_, _ = fmt.Fprintf(out, "council: leader %q, index %d, heard %v ago, permit %d\n", s.Leader, s.Index, (time.Duration(s.AgeMs) * time.Millisecond).Round(100*time.Millisecond), s.Fence)
		}
		return nil
	})
	add("beliefs", "what is claimed of members, by whom", func(out io.Writer) error {
		var lines []observation.MemberSummary
		if err := ask(admin, "/v1/beliefs", &lines); err != nil || asJSON {
			return show(out, lines, err)
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "MEMBER\tOUT\tUP\tWITNESS\tZONE\tSAW\tAGE\tTRUST")
		for _, l := range lines {
			for _, o := range l.Claims {
				_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\t%s\t%s\t%v\t%.2f\n", l.Member, l.Out, l.Up, o.Witness, o.Zone, o.Kind,
					(time.Duration(o.AgeMs) * time.Millisecond).Round(100*time.Millisecond), o.Trust)
			}
		}
		return w.Flush()
	})
	add("rules", "what a gateway may do, by its own verdict and a peer's", func(out io.Writer) error {
		if asJSON {
			return show(out, view.Rules(), nil)
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "ACT\tMINE\tTHEIRS\tALLOWED\tWHY")
		for _, r := range view.Rules() {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\n", r.Operation, r.OwnVerdict, r.PeerVerdict, r.Allowed, r.Reason)
		}
		return w.Flush()
	})
	addCouncil(c, &admin, &asJSON)
	return c
}

// ask asks an admin address.
func ask(admin, path string, v any) error {
	if admin == "" {
		return exitError{exUnavailable, errors.New("no address, want --admin host:port")}
	}
	if _, err := call(admin, http.MethodGet, path, nil, v); err != nil {
		return exitError{exUnavailable, err}
	}
	return nil
}

// roundTrip is by hand: the client of net/http would be mapped into every gateway for the sake of this. The caller
// closes the answer's body.
func roundTrip(addr, method, path string, body []byte, within time.Duration) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", addr, askWait)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(within))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, addr, len(body), body)
	if err == nil {
		var res *http.Response
		if res, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			res.Body = closer{res.Body, conn}
			return res, nil
		}
	}
	_ = conn.Close()
	return nil, err
}

// closer closes the connection with the body.
type closer struct {
	io.ReadCloser
	conn net.Conn
}

// Close implements io.Closer.
func (c closer) Close() error {
	_ = c.ReadCloser.Close()
	return c.conn.Close()
}

// show writes JSON, unless there is an error.
func show(out io.Writer, v any, err error) error {
	if err != nil {
		return err
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// pairs writes a map in the order of its keys.
func pairs[V any](m map[string]V) string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var b strings.Builder
	for i, k := range keys {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s %v", k, m[k])
	}
	return b.String()
}
