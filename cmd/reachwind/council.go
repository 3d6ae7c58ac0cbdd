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

// Exit codes of `fleet permit`, beside the command's own.
const (
	exTempFail = 75 // not granted in time: the command was never started
	exFenced   = 76 // stopped, as its permit had ended
)

const (
	retryEach = 200 * time.Millisecond
	watchEach = 500 * time.Millisecond
	noticeDB  = 400 * time.Millisecond // between a member's permit and the command: gateways are told at once and must stop within 250 ms
	giveBack  = 5 * time.Second        // tries to give a permit back for so long
	termGrace = 5 * time.Second        // from SIGTERM to SIGKILL at most, all before the permit ends
)

// councilCommand starts a voter, which is a program of its own beside this one.
func councilCommand() *cobra.Command {
	var path, level string
	var join bool
	c := &cobra.Command{Use: "council", Short: "run one voter of the fleet's council until SIGTERM or SIGINT", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			me, err := os.Executable()
			if err != nil {
				return err
			}
			program := filepath.Join(filepath.Dir(me), "reachwind-council")
			path, _ = c.Flags().GetString("config")
			level, _ = c.Flags().GetString("log-level")
			args := []string{program, "--config", path, "--log-level", level}
			if join {
				args = append(args, "--join")
			}
			return fmt.Errorf("%s: %w", program, syscall.Exec(program, args, os.Environ()))
		}}
	c.Flags().BoolVar(&join, "join", false, "join a council that is there: with an empty folder this voter founds none, and waits until it is added")
	c.AddCommand(&cobra.Command{Use: "restore", Short: "make a new council from one folder of one that has lost its majority for good; --help tells how", DisableFlagParsing: true,
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

// councillors are the admin addresses of a council, and who asks there.
type councillors struct {
	admins []string
	client string
	number uint64
	who    string
}

func newCouncillors(admin string) *councillors {
	id := make([]byte, 12)
	_, _ = rand.Read(id) // it never fails
	c := &councillors{client: hex.EncodeToString(id)}
	for _, a := range strings.Split(admin, ",") {
		if a = strings.TrimSpace(a); a != "" {
			c.admins = append(c.admins, a)
		}
	}
	host, _ := os.Hostname()
	c.who = host
	if u, err := user.Current(); err == nil {
		c.who = u.Username + "@" + host
	}
	return c
}

// result is what a command gave.
type result struct {
	OK      bool    `json:"ok"`
	Refused string  `json:"refused"`
	Permit  *permit `json:"permit"`
	Fence   uint64  `json:"fence"`
	State   string  `json:"state"`
	Back    bool    `json:"back"`
}

type permit struct {
	Target  string `json:"target"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
	UntilMs int64  `json:"until_ms"`
	Overdue bool   `json:"overdue"`
	Reason  string `json:"reason"`
}

type status struct {
	Name    string `json:"name"`
	Quorum  bool   `json:"quorum"`
	Leader  string `json:"leader"`
	Leading bool   `json:"leading"`
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`
	TimeMs  int64  `json:"time_ms"`
	Budgets []struct {
		Of    string  `json:"of"`
		Zone  string  `json:"zone,omitempty"`
		Group string  `json:"group,omitempty"`
		Most  int     `json:"most"`
		Share float64 `json:"share,omitempty"`
	} `json:"budgets"`
	Permits  []permit           `json:"permits"`
	Releases []agreed.Release   `json:"releases"`
	Targets  []agreed.Target    `json:"targets"`
	Rules    agreed.Rules       `json:"rules"`
	Serves   agreed.FleetHealth `json:"serves"`
	Zones    *agreed.ZonePlan   `json:"zones"`
	Form     int                `json:"form"`
	Identity uint64             `json:"identity"`
	Listen   string             `json:"listen"`
	ID       uint64             `json:"id"`
	Voters   []struct {
		Name    string `json:"name"`
		ID      uint64 `json:"id"`
		Address string `json:"address"`
		Learns  bool   `json:"learns,omitempty"`
		HeardMs int64  `json:"heard_ms"`
		Form    int    `json:"form"`
	} `json:"voters"`
}

// do gives a command to whoever leads, until it is decided or the time is up. It goes under one number however often
// it is sent, so it is done once.
func (c *councillors) do(until time.Time, q map[string]any) (*result, error) {
	c.number++
	q["client"], q["number"], q["who"] = c.client, c.number, c.who
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	err = errors.New("no admin address, want --admin host:port,...")
	for {
		for i, a := range slices.Clone(c.admins) {
			var r result
			var code int
			if code, err = call(a, http.MethodPost, "/v1/command", body, &r); err == nil && code == http.StatusOK {
				c.admins[0], c.admins[i] = c.admins[i], c.admins[0] // who leads is asked first the next time
				return &r, nil
			}
			if code == http.StatusBadRequest {
				return nil, err
			}
		}
		if time.Now().After(until) || len(c.admins) == 0 {
			return nil, exitError{exUnavailable, fmt.Errorf("the council decides nothing: %w", err)}
		}
		time.Sleep(retryEach)
	}
}

// status asks for the state, the leader's if it can be had.
func (c *councillors) status() (best *status, err error) {
	err = errors.New("no admin address, want --admin host:port,...")
	for _, a := range c.admins {
		var s status
		if code, e := call(a, http.MethodGet, "/v1/status", nil, &s); e != nil || code != http.StatusOK {
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

// addCouncil adds what is asked of the council to the fleet's commands.
func addCouncil(c *cobra.Command, admin *string, asJSON *bool) {
	c.AddCommand(&cobra.Command{Use: "status", Short: "the council's leader, budgets and permits", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := newCouncillors(*admin).status()
		if err != nil || *asJSON {
			return show(c.OutOrStdout(), s, err)
		}
		out := c.OutOrStdout()
		lead := s.Leader
		if lead == "" {
			lead = "none: nothing new goes out"
		}
		_, _ = fmt.Fprintf(out, "leader %s, term %d, index %d, council time %v, as %s knows it\n", lead, s.Term, s.Index, time.Duration(s.TimeMs)*time.Millisecond, s.Name)
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		for _, v := range s.Voters {
			heard := "now"
			if v.HeardMs != 0 {
				heard = (time.Duration(v.HeardMs) * time.Millisecond).String() + " ago"
			}
			if v.HeardMs < 0 {
				heard = "not yet"
			}
			kind := "votes"
			if v.Learns {
				kind = "learns"
			}
			_, _ = fmt.Fprintf(out, "voter %s at %s %s, heard %s, speaks form %d of %d in use\n", v.Name, v.Address, kind, heard, v.Form, s.Form)
		}
		if s.Rules.BlockOnZoneLoss || s.Rules.MinInTimeFraction > 0 {
			_, _ = fmt.Fprintf(out, "nothing new goes out while a zone is lost: %v; while less than %g is served in time (now %.3f)\n", s.Rules.BlockOnZoneLoss, s.Rules.MinInTimeFraction, s.Serves.InTimeFraction)
		}
		for i := range s.Releases {
			_, _ = fmt.Fprintln(out, progress(&s.Releases[i], s.TimeMs))
		}
		_, _ = fmt.Fprintln(w, "BUDGET OF\tZONE\tGROUP\tMOST\tSHARE")
		for _, b := range s.Budgets {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%g\n", b.Of, b.Zone, b.Group, b.Most, b.Share)
		}
		_, _ = fmt.Fprintln(w, "PERMIT FOR\tHOLDER\tFENCE\tENDS IN\tREASON")
		for _, p := range s.Permits {
			left := (time.Duration(p.UntilMs-s.TimeMs) * time.Millisecond).Round(100 * time.Millisecond).String()
			if p.Overdue {
				left = "overdue: counts as out"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", p.Target, p.Holder, p.Fence, left, p.Reason)
		}
		return w.Flush()
	}})
	budget := &cobra.Command{Use: "budget", Short: "what may be out at once"}
	var of, zone, group string
	var most int
	var share float64
	set := &cobra.Command{Use: "set", Short: "set a budget", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		r, err := newCouncillors(*admin).do(time.Now().Add(10*time.Second), map[string]any{"op": "budget",
			"budget": map[string]any{"of": of, "zone": zone, "group": group, "most": most, "share": share}})
		return granted(r, err)
	}}
	set.Flags().StringVar(&of, "of", "", "gateways or members")
	set.Flags().StringVar(&zone, "zone", "", "only those of this zone")
	set.Flags().StringVar(&group, "group", "", "only those of this group")
	set.Flags().IntVar(&most, "most", -1, "at most so many; -1: no bound by number")
	set.Flags().Float64Var(&share, "share", 0, "at most this part of those that are there; 0: no bound by share")
	var zoneLost bool
	var worth float64
	guard := &cobra.Command{Use: "guard", Short: "bar all that is new while a zone is lost or too little is served in time", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return granted(newCouncillors(*admin).do(time.Now().Add(10*time.Second), map[string]any{"op": "rules", "rules": map[string]any{"zone_lost": zoneLost, "worth": worth}}))
	}}
	guard.Flags().BoolVar(&zoneLost, "zone-lost", false, "nothing new goes out while more than half of a zone's gateways are out by themselves")
	guard.Flags().Float64Var(&worth, "worth", 0, "nothing new goes out while less than this part is served in time; 0: no bound")
	budget.AddCommand(set, guard)
	c.AddCommand(budget)

	var term, wait time.Duration
	var reason string
	p := &cobra.Command{Use: "permit TARGET --for SPAN -- COMMAND...", Short: "hold a permit to take gateway/NAME or db/NAME out while a command runs", Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return hold(newCouncillors(*admin), args[0], reason, term, wait, args[1:])
		}}
	p.Flags().DurationVar(&term, "for", 0, "the permit's `span`; the command is stopped before it ends")
	p.Flags().DurationVar(&wait, "wait", 0, "wait so long for the permit")
	p.Flags().StringVar(&reason, "reason", "", "for the history")
	c.AddCommand(p)

	addDrain(c, admin, asJSON)
	addVoters(c, admin)
	addRelease(c, admin, asJSON)
	addZones(c, admin, asJSON)
}

func granted(r *result, err error) error {
	if err == nil && !r.OK {
		err = errors.New(r.Refused)
	}
	return err
}

// hold runs a command under a permit. It counts the permit's span from before it asked, on its own clock, so that the
// command has ended before the council takes the permit for ended.
func hold(c *councillors, target, reason string, term, wait time.Duration, args []string) error {
	if term < time.Second {
		return fmt.Errorf("--for is %v, want a second at least", term)
	}
	var asked time.Time
	var p *permit
	for until := time.Now().Add(wait); p == nil; {
		asked = time.Now()
		r, err := c.do(until, map[string]any{"op": "acquire", "target": target, "reason": reason, "term_ms": term.Milliseconds()})
		switch {
		case err != nil:
			return exitError{exTempFail, fmt.Errorf("no permit for %s: %w", target, err)}
		case r.OK:
			p = r.Permit
		case time.Now().After(until):
			return exitError{exTempFail, fmt.Errorf("no permit for %s: %s", target, r.Refused)}
		default:
			time.Sleep(retryEach)
		}
	}
	if strings.HasPrefix(target, "db/") { // gateways move work off the member first
		time.Sleep(min(noticeDB, term/4))
	}
	kill := asked.Add(term)
	stop := kill.Add(-min(termGrace, term/5))
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.Env = append(os.Environ(), "REACHWIND_FENCE="+strconv.FormatUint(p.Fence, 10), "REACHWIND_TARGET="+target)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	fenced := time.Now().After(stop)
	var err error
	if !fenced {
		fenced, err = c.run(cmd, p, stop, kill)
	}
	if strings.HasPrefix(target, "db/") && err == nil && !fenced {
		c.seenBack(target, asked.Add(term))
	}
	_, back := c.do(time.Now().Add(giveBack), map[string]any{"op": "give_back", "target": target, "fence": p.Fence})
	if back != nil {
		fmt.Fprintf(os.Stderr, "reachwind: the permit %d of %s was not given back, it counts as out: %v\n", p.Fence, target, back)
	}
	if fenced {
		return exitError{exFenced, fmt.Errorf("the permit %d of %s ended, the command was stopped", p.Fence, target)}
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exitError{exit.ExitCode(), fmt.Errorf("%s: %w", args[0], err)}
	}
	return err
}

// seenBack waits until gateways report a member as serving and caught up, until its permit ends at the latest. One that no
// gateway reports is taken for back.
func (c *councillors) seenBack(target string, until time.Time) {
	for time.Now().Before(until.Add(-giveBack)) {
		s, err := c.status()
		if err == nil {
			i := slices.IndexFunc(s.Targets, func(t agreed.Target) bool { return t.Name == target })
			if i < 0 || !s.Targets[i].Out && (s.Targets[i].CaughtUp || s.Targets[i].Primary) {
				return
			}
		}
		time.Sleep(watchEach)
	}
}

// run runs the command until it ends, its time is up, or the council knows its permit no more.
func (c *councillors) run(cmd *exec.Cmd, p *permit, stop, kill time.Time) (fenced bool, err error) {
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
			time.Sleep(watchEach)
			s, err := c.status()
			if err != nil || !s.Leading {
				continue // who can't be asked has not taken it back
			}
			held := false
			for _, o := range s.Permits {
				held = held || o.Target == p.Target && o.Fence == p.Fence && !o.Overdue
			}
			if !held {
				close(revoked)
				return
			}
		}
	}()
	select {
	case err := <-ended:
		return false, err
	case <-revoked:
		kill = time.Now().Add(termGrace)
	case <-time.After(time.Until(stop)):
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-time.After(time.Until(kill)):
		_ = cmd.Process.Kill()
		err = <-ended
	}
	return true, err
}

// call makes one call by HTTP/1.0 over a connection of its own.
func call(addr, method, path string, body []byte, v any) (code int, err error) {
	return callFor(addr, method, path, body, v, 2*askWait)
}

// callFor is call for answers that may take so long.
func callFor(addr, method, path string, body []byte, v any, within time.Duration) (code int, err error) {
	res, err := roundTrip(addr, method, path, body, within)
	if err != nil {
		return 0, fmt.Errorf("asking %q: %w", addr, err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, askMost))
	if err != nil {
		return 0, fmt.Errorf("asking %q: %w", addr, err)
	}
	if res.StatusCode != http.StatusOK {
		return res.StatusCode, fmt.Errorf("asking %q: status %d: %s", addr, res.StatusCode, bytes.TrimSpace(text))
	}
	return res.StatusCode, json.Unmarshal(text, v)
}
