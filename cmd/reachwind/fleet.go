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

// exitError is an error that makes the process exit with a certain code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e exitError) Error() string { return e.err.Error() }

// exUnavailable is the exit code if a gateway or the council does not answer (EX_UNAVAILABLE of sysexits.h).
const exUnavailable = 69

const (
	adminTimeout   = 3 * time.Second
	maxAnswerBytes = 8 << 20 // bytes of an answer
)

// fleetCommand builds the commands that query running gateways and the council.
func fleetCommand() *cobra.Command {
	var admin string
	var asJSON bool
	c := &cobra.Command{Use: "fleet", Short: "query a running gateway about the fleet, and the fleet's council"}
	flags := c.PersistentFlags()
	flags.StringVar(&admin, "admin", "", "admin `address` of the gateway, or of the council's voters, separated by commas")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	add := func(use, short string, run func(out io.Writer) error) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return run(c.OutOrStdout()) }})
	}
	add("members", "list the fleet's gateways as one gateway sees them", func(out io.Writer) error {
		var all []fleet.Member
		if err := getAdmin(admin, "/v1/members", &all); err != nil || asJSON {
			return writeJSON(out, all, err)
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
	add("view", "show a gateway's verdict on its own connectivity, and the reasons", func(out io.Writer) error {
		var v fleet.View
		if err := getAdmin(admin, "/v1/view", &v); err != nil || asJSON {
			return writeJSON(out, v, err)
		}
		_, _ = fmt.Fprintf(out, "%s, epoch %d: %s (number %d) since %v\n", v.Name, v.Epoch, v.Verdict, v.Number,
			(time.Duration(v.SinceMs) * time.Millisecond).Round(100*time.Millisecond))
		for _, r := range v.Reasons {
			_, _ = fmt.Fprintln(out, " ", r)
		}
		_, _ = fmt.Fprintln(out, "parts of shared budgets, 1 = its own:", formatMap(v.Quotas))
		_, _ = fmt.Fprintln(out, "counts:", formatMap(v.Counts))
		if s := v.Council; s != nil {
			_, _ = fmt.Fprintf(out, "council: leader %q, index %d, heard %v ago, permit %d\n", s.Leader, s.Index, (time.Duration(s.AgeMs) * time.Millisecond).Round(100*time.Millisecond), s.Fence)
		}
		return nil
	})
	add("beliefs", "list observations of members and the gateways that made them", func(out io.Writer) error {
		var lines []observation.MemberSummary
		if err := getAdmin(admin, "/v1/beliefs", &lines); err != nil || asJSON {
			return writeJSON(out, lines, err)
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
	add("rules", "list what a gateway may do, by its own verdict and a peer's", func(out io.Writer) error {
		if asJSON {
			return writeJSON(out, view.Rules(), nil)
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "ACT\tMINE\tTHEIRS\tALLOWED\tWHY")
		for _, r := range view.Rules() {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\n", r.Operation, r.OwnVerdict, r.PeerVerdict, r.Allowed, r.Reason)
		}
		return w.Flush()
	})
	addCouncilCommands(c, &admin, &asJSON)
	return c
}

// getAdmin gets path from an admin address and decodes the JSON answer into v. The error is an exitError with
// exUnavailable.
func getAdmin(admin, path string, v any) error {
	if admin == "" {
		return exitError{exUnavailable, errors.New("no address, want --admin host:port")}
	}
	if _, err := callAdmin(admin, http.MethodGet, path, nil, v); err != nil {
		return exitError{exUnavailable, err}
	}
	return nil
}

// roundTrip sends one HTTP/1.0 request over a connection of its own. It does without the client of net/http, whose code
// would be mapped into the memory of every gateway. The caller closes the answer's body.
func roundTrip(addr, method, path string, body []byte, within time.Duration) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", addr, adminTimeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(within))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, addr, len(body), body)
	if err == nil {
		var res *http.Response
		if res, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			res.Body = connectionBody{res.Body, conn}
			return res, nil
		}
	}
	_ = conn.Close()
	return nil, err
}

// connectionBody is an answer's body whose Close also closes the connection.
type connectionBody struct {
	io.ReadCloser
	conn net.Conn
}

// Close implements io.Closer.
func (c connectionBody) Close() error {
	_ = c.ReadCloser.Close()
	return c.conn.Close()
}

// writeJSON writes v as indented JSON, or returns err if that is not nil.
func writeJSON(out io.Writer, v any, err error) error {
	if err != nil {
		return err
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// formatMap formats a map in the order of its keys.
func formatMap[V any](m map[string]V) string {
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
