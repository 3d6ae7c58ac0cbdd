package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/user"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/fleet/agreed"
)

// Exit codes of `fleet permit`. Otherwise it exits with the code of the command that it ran.
const (
	exTempFail = 75 // no permit was granted in time, and the command was never started
	exFenced   = 76 // the command was stopped because its permit ended
)

const (
	retryInterval     = 200 * time.Millisecond
	watchInterval     = 500 * time.Millisecond
	memberDrainNotice = 400 * time.Millisecond // between a member's permit and the command: gateways are notified at once and must stop sending to it within 250 ms
	giveBackTimeout   = 5 * time.Second        // for giving a permit back, retries included
	terminationGrace  = 5 * time.Second        // at most, from SIGTERM to SIGKILL; both come before the permit ends
)

// councilCommand runs a voter by replacing this process with the program reachwind-council of the same folder.
func councilCommand() *cobra.Command {
	var path, level string
	var join bool
	c := &cobra.Command{Use: "council", Short: "run one voter of the fleet's council until SIGTERM or SIGINT", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			program := filepath.Join(filepath.Dir(executable), "reachwind-council")
			path, _ = c.Flags().GetString("config")
			level, _ = c.Flags().GetString("log-level")
			args := []string{program, "--config", path, "--log-level", level}
			if join {
				args = append(args, "--join")
			}
			return fmt.Errorf("%s: %w", program, syscall.Exec(program, args, os.Environ()))
		}}
	c.Flags().BoolVar(&join, "join", false, "join an existing council: with an empty folder this voter does not found one but waits until it is added")
	c.AddCommand(&cobra.Command{Use: "restore", Short: "make a new council from one folder of a council that has lost its majority for good; see --help", DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			me, err := os.Executable()
			if err != nil {
				return err
			}
			program := filepath.Join(filepath.Dir(me), "reachwind-council")
			return fmt.Errorf("%s: %w", program, syscall.Exec(program, append([]string{program, "restore"}, args...), os.Environ()))
		}})
	return c
}

// councilClient is a client of a council: the voters' admin addresses, and what identifies the client's commands.
type councilClient struct {
	addresses  []string
	clientID   string
	lastNumber uint64
	requester  string
}

func newCouncilClient(admin string) *councilClient {
	id := make([]byte, 12)
	_, _ = rand.Read(id) // never fails
	c := &councilClient{clientID: hex.EncodeToString(id)}
	for _, a := range strings.Split(admin, ",") {
		if a = strings.TrimSpace(a); a != "" {
			c.addresses = append(c.addresses, a)
		}
	}
	host, _ := os.Hostname()
	c.requester = host
	if u, err := user.Current(); err == nil {
		c.requester = u.Username + "@" + host
	}
	return c
}

// result is the council's answer to a command.
type result struct {
	OK            bool    `json:"ok"`
	RefusalReason string  `json:"refused"`
	Permit        *permit `json:"permit"`
	Fence         uint64  `json:"fence"`
	State         string  `json:"state"`
	RollingBack   bool    `json:"back"`
}

// permit is a permit to take Target out of service. Times are the council's.
type permit struct {
	Target    string `json:"target"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fence"`
	ExpiresMs int64  `json:"until_ms"`
	Overdue   bool   `json:"overdue"`
	Reason    string `json:"reason"`
}

// status is the council's state as one voter reports it. Times are the council's, in milliseconds.
type status struct {
	Name    string `json:"name"`
	Quorum  bool   `json:"quorum"`
	Leader  string `json:"leader"`
	Leading bool   `json:"leading"`
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`
	TimeMs  int64  `json:"time_ms"`
	Budgets []struct {
		Of       string  `json:"of"`
		Zone     string  `json:"zone,omitempty"`
		Group    string  `json:"group,omitempty"`
		Max      int     `json:"most"`
		MaxShare float64 `json:"share,omitempty"`
	} `json:"budgets"`
	Permits       []permit           `json:"permits"`
	Releases      []agreed.Release   `json:"releases"`
	Targets       []agreed.Target    `json:"targets"`
	Rules         agreed.Rules       `json:"rules"`
	Serves        agreed.FleetHealth `json:"serves"`
	Zones         *agreed.ZonePlan   `json:"zones"`
	FormatVersion int                `json:"form"`
	Identity      uint64             `json:"identity"`
	Listen        string             `json:"listen"`
	ID            uint64             `json:"id"`
	Voters        []struct {
		Name          string `json:"name"`
		ID            uint64 `json:"id"`
		Address       string `json:"address"`
		Learning      bool   `json:"learns,omitempty"`
		LastHeardMs   int64  `json:"heard_ms"` // since the last message from it; 0: now, negative: none yet
		FormatVersion int    `json:"form"`
	} `json:"voters"`
}

// submit submits a command to the voters, the last leader first, and retries until one of them reports its result or
// until has passed. All attempts carry the same number, so that the council executes the command once. The error is an
// exitError with exUnavailable if no voter answered in time.
func (c *councilClient) submit(until time.Time, command map[string]any) (*result, error) {
	c.lastNumber++
	command["client"], command["number"], command["who"] = c.clientID, c.lastNumber, c.requester
	body, err := json.Marshal(command)
	if err != nil {
		return nil, err
	}
	err = errors.New("no admin address, want --admin host:port,...")
	for {
		for i, a := range slices.Clone(c.addresses) {
			var r result
			var code int
			if code, err = callAdmin(a, http.MethodPost, "/v1/command", body, &r); err == nil && code == http.StatusOK {
				c.addresses[0], c.addresses[i] = c.addresses[i], c.addresses[0] // the leader is asked first next time
				return &r, nil
			}
			if code == http.StatusBadRequest {
				return nil, err
			}
		}
		if time.Now().After(until) || len(c.addresses) == 0 {
			return nil, exitError{exUnavailable, fmt.Errorf("no decision from the council in time: %w", err)}
		}
		time.Sleep(retryInterval)
	}
}

// status returns the council's state as the leader knows it or, if no leader answers, as the most up-to-date voter does.
func (c *councilClient) status() (best *status, err error) {
	err = errors.New("no admin address, want --admin host:port,...")
	for _, a := range c.addresses {
		var s status
		if code, e := callAdmin(a, http.MethodGet, "/v1/status", nil, &s); e != nil || code != http.StatusOK {
			err = e
			continue
		}
		if best == nil || s.Leading || s.Index > best.Index && !best.Leading {
			best = &s
		}
	}
	if best == nil {
		return nil, exitError{exUnavailable, err}
	}
	return best, nil
}

// addCouncilCommands adds the commands that are directed to the council to command `fleet`.
func addCouncilCommands(c *cobra.Command, admin *string, asJSON *bool) {
	c.AddCommand(&cobra.Command{Use: "status", Short: "the council's leader, budgets and permits", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := newCouncilClient(*admin).status()
		if err != nil || *asJSON {
			return writeJSON(c.OutOrStdout(), s, err)
		}
		out := c.OutOrStdout()
		leader := s.Leader
		if leader == "" {
			leader = "none: nothing new goes out"
		}
		_, _ = fmt.Fprintf(out, "leader %s, term %d, index %d, council time %v, as %s knows it\n", leader, s.Term, s.Index, time.Duration(s.TimeMs)*time.Millisecond, s.Name)
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		for _, v := range s.Voters {
			heard := "now"
			if v.LastHeardMs != 0 {
				heard = (time.Duration(v.LastHeardMs) * time.Millisecond).String() + " ago"
			}
			if v.LastHeardMs < 0 {
				heard = "not yet"
			}
			kind := "votes"
			if v.Learning {
				kind = "learns"
			}
			_, _ = fmt.Fprintf(out, "voter %s at %s %s, heard %s, speaks form %d of %d in use\n", v.Name, v.Address, kind, heard, v.FormatVersion, s.FormatVersion)
		}
		if s.Rules.BlockOnZoneLoss || s.Rules.MinInTimeFraction > 0 {
			_, _ = fmt.Fprintf(out, "nothing new goes out while a zone is lost: %v; while less than %g is served in time (now %.3f)\n", s.Rules.BlockOnZoneLoss, s.Rules.MinInTimeFraction, s.Serves.InTimeFraction)
		}
		for i := range s.Releases {
			_, _ = fmt.Fprintln(out, progressLine(&s.Releases[i], s.TimeMs))
		}
		_, _ = fmt.Fprintln(w, "BUDGET OF\tZONE\tGROUP\tMOST\tSHARE")
		for _, b := range s.Budgets {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%g\n", b.Of, b.Zone, b.Group, b.Max, b.MaxShare)
		}
		_, _ = fmt.Fprintln(w, "PERMIT FOR\tHOLDER\tFENCE\tENDS IN\tREASON")
		for _, p := range s.Permits {
			left := (time.Duration(p.ExpiresMs-s.TimeMs) * time.Millisecond).Round(100 * time.Millisecond).String()
			if p.Overdue {
				left = "overdue: counts as out"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", p.Target, p.Holder, p.Fence, left, p.Reason)
		}
		return w.Flush()
	}})
	budget := &cobra.Command{Use: "budget", Short: "how many gateways or members may be out of service at once"}
	var of, zone, group string
	var most int
	var share float64
	set := &cobra.Command{Use: "set", Short: "set a budget", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		r, err := newCouncilClient(*admin).submit(time.Now().Add(10*time.Second), map[string]any{"op": "budget",
			"budget": map[string]any{"of": of, "zone": zone, "group": group, "most": most, "share": share}})
		return checkResult(r, err)
	}}
	set.Flags().StringVar(&of, "of", "", "gateways or members")
	set.Flags().StringVar(&zone, "zone", "", "only those of this zone")
	set.Flags().StringVar(&group, "group", "", "only those of this group")
	set.Flags().IntVar(&most, "most", -1, "maximum number; -1: no limit by number")
	set.Flags().Float64Var(&share, "share", 0, "maximum fraction of those that are present; 0: no limit by fraction")
	var zoneLost bool
	var worth float64
	guard := &cobra.Command{Use: "guard", Short: "grant no new permits while a zone is lost or too few requests are served in time", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return checkResult(newCouncilClient(*admin).submit(time.Now().Add(10*time.Second), map[string]any{"op": "rules", "rules": map[string]any{"zone_lost": zoneLost, "worth": worth}}))
	}}
	guard.Flags().BoolVar(&zoneLost, "zone-lost", false, "grant no new permits while more than half of a zone's gateways have failed")
	guard.Flags().Float64Var(&worth, "worth", 0, "grant no new permits while less than this fraction of requests is served in time; 0: no limit")
	budget.AddCommand(set, guard)
	c.AddCommand(budget)

	var term, wait time.Duration
	var reason string
	p := &cobra.Command{Use: "permit TARGET --for SPAN -- COMMAND...", Short: "run a command under a permit to take gateway/NAME or db/NAME out of service", Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return runWithPermit(newCouncilClient(*admin), args[0], reason, term, wait, args[1:])
		}}
	p.Flags().DurationVar(&term, "for", 0, "the permit's `span`; the command is stopped before it ends")
	p.Flags().DurationVar(&wait, "wait", 0, "how long to wait for the permit")
	p.Flags().StringVar(&reason, "reason", "", "reason shown in the history")
	c.AddCommand(p)

	addDrainCommands(c, admin, asJSON)
	addVoterCommands(c, admin)
	addReleaseCommands(c, admin, asJSON)
	addZoneCommands(c, admin, asJSON)
}

// checkResult returns err, or an error with the reason if the council refused a command.
func checkResult(r *result, err error) error {
	if err == nil && !r.OK {
		err = errors.New(r.RefusalReason)
	}
	return err
}

// runWithPermit runs a command under a permit. It counts the permit's term from before its request, on its own clock,
// so that the command has ended before the permit ends by the council's clock. The error is an exitError with
// exTempFail if there is no permit in time, exFenced if the command was stopped, and the command's own exit code if
// that failed.
func runWithPermit(c *councilClient, target, reason string, term, wait time.Duration, args []string) error {
	if term < time.Second {
		return fmt.Errorf("--for is %v, want a second at least", term)
	}
	var asked time.Time
	var grant *permit
	for until := time.Now().Add(wait); grant == nil; {
		asked = time.Now()
		r, err := c.submit(until, map[string]any{"op": "acquire", "target": target, "reason": reason, "term_ms": term.Milliseconds()})
		switch {
		case err != nil:
			return exitError{exTempFail, fmt.Errorf("no permit for %s: %w", target, err)}
		case r.OK:
			grant = r.Permit
		case time.Now().After(until):
			return exitError{exTempFail, fmt.Errorf("no permit for %s: %s", target, r.RefusalReason)}
		default:
			time.Sleep(retryInterval)
		}
	}
	if strings.HasPrefix(target, "db/") { // gateways move work off the member first
		time.Sleep(min(memberDrainNotice, term/4))
	}
	killAt := asked.Add(term)
	stopAt := killAt.Add(-min(terminationGrace, term/5))
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.Env = append(os.Environ(), "REACHWIND_FENCE="+strconv.FormatUint(grant.Fence, 10), "REACHWIND_TARGET="+target)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	fenced := time.Now().After(stopAt)
	var err error
	if !fenced {
		fenced, err = c.runUnderPermit(cmd, grant, stopAt, killAt)
	}
	if strings.HasPrefix(target, "db/") && err == nil && !fenced {
		c.awaitMemberBack(target, asked.Add(term))
	}
	_, giveBackErr := c.submit(time.Now().Add(giveBackTimeout), map[string]any{"op": "give_back", "target": target, "fence": grant.Fence})
	if giveBackErr != nil {
		fmt.Fprintf(os.Stderr, "reachwind: permit %d of %s was not given back, its target still counts as out: %v\n", grant.Fence, target, giveBackErr)
	}
	if fenced {
		return exitError{exFenced, fmt.Errorf("permit %d of %s ended, the command was stopped", grant.Fence, target)}
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exitError{exit.ExitCode(), fmt.Errorf("%s: %w", args[0], err)}
	}
	return err
}

// awaitMemberBack waits until gateways report a member as serving and caught up, at the latest until giveBackTimeout
// before its permit ends. A member that no gateway reports counts as back.
func (c *councilClient) awaitMemberBack(target string, until time.Time) {
	for time.Now().Before(until.Add(-giveBackTimeout)) {
		s, err := c.status()
		if err == nil {
			i := slices.IndexFunc(s.Targets, func(t agreed.Target) bool { return t.Name == target })
			if i < 0 || !s.Targets[i].Out && (s.Targets[i].CaughtUp || s.Targets[i].Primary) {
				return
			}
		}
		time.Sleep(watchInterval)
	}
}

// runUnderPermit runs cmd until it ends, stopAt has passed, or the council no longer lists its permit. In the last two
// cases it sends SIGTERM, then SIGKILL, and returns fenced = true.
func (c *councilClient) runUnderPermit(cmd *exec.Cmd, p *permit, stopAt, killAt time.Time) (fenced bool, err error) {
	if err := cmd.Start(); err != nil {
		return false, err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	revoked := make(chan struct{})
	go func() {
		for ctx.Err() == nil {
			time.Sleep(watchInterval)
			s, err := c.status()
			if err != nil || !s.Leading {
				continue // only the leader's answer counts: without one the permit still holds
			}
			listed := false
			for _, o := range s.Permits {
				listed = listed || o.Target == p.Target && o.Fence == p.Fence && !o.Overdue
			}
			if !listed {
				close(revoked)
				return
			}
		}
	}()
	select {
	case err := <-ended:
		return false, err
	case <-revoked:
		killAt = time.Now().Add(terminationGrace)
	case <-time.After(time.Until(stopAt)):
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-time.After(time.Until(killAt)):
		_ = cmd.Process.Kill()
		err = <-ended
	}
	return true, err
}

// callAdmin makes one HTTP call to an admin address and decodes the JSON answer into v. A status other than 200 is an
// error, and its code is returned with it; code is 0 if there was no answer.
func callAdmin(addr, method, path string, body []byte, v any) (code int, err error) {
	return callAdminWithin(addr, method, path, body, v, 2*adminTimeout)
}

// callAdminWithin is callAdmin with a time limit.
func callAdminWithin(addr, method, path string, body []byte, v any, within time.Duration) (code int, err error) {
	res, err := roundTrip(addr, method, path, body, within)
	if err != nil {
		return 0, fmt.Errorf("asking %q: %w", addr, err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return 0, fmt.Errorf("asking %q: %w", addr, err)
	}
	if res.StatusCode != http.StatusOK {
		return res.StatusCode, fmt.Errorf("asking %q: status %d: %s", addr, res.StatusCode, bytes.TrimSpace(text))
	}
	return res.StatusCode, json.Unmarshal(text, v)
}
