package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/edgeconf"
	"reachwind/internal/fleet/agreed"
)

const (
	driveTerm  = 10 * time.Second
	driveEvery = 2 * time.Second // the driver's term is renewed, and the next target asked for, so often at the least
	nextEvery  = 200 * time.Millisecond
	tellFor    = time.Minute // how long a driver tries to tell how a command ended
)

// readPlan reads a release's plan.
func readPlan(path string) (r agreed.Release, err error) {
	err = edgeconf.Load(path, func(b *edgeconf.Block) {
		b.Blocks("release", true, func(b *edgeconf.Block) {
			if r.Name != "" {
				b.AddFault("a second release, want one in a file")
				return
			}
			r = agreed.Release{Name: b.Label, Kind: b.Enum("of", "gateways", "gateways", "members"), Version: b.String("version", ""), Former: b.String("former", ""),
				Command: b.Strings("command"), UndoCommand: b.Strings("back"), TermMs: b.Duration("term", 5*time.Minute, time.Second, 24*time.Hour).Milliseconds(),
				MaxTogether: int(b.Int("together", 1, 1, 1000)), AutoBack: b.Enum("on_halt", "stay", "stay", "back") == "back",
				HealthLimits: agreed.HealthLimits{Disabled: true}}
			b.Blocks("step", true, func(b *edgeconf.Block) {
				r.Steps = append(r.Steps, agreed.Step{Name: b.Label, Zone: b.String("zone", ""), Count: int(b.Int("count", 0, 0, agreed.MaxItems)), Share: b.Number("share", 0, 0, 1),
					PauseMs: b.Duration("pause", 0, 0, 24*time.Hour).Milliseconds()})
			})
			b.Blocks("health", false, func(b *edgeconf.Block) {
				r.HealthLimits = agreed.HealthLimits{RefusedMargin: b.Number("refused", 0.01, 0, 1), LateMargin: b.Number("late", 0.02, 0, 1), P99Factor: b.Number("p99_times", 2, 1, 1000),
					MaxRestarts: int(b.Int("restarts", 0, 0, 1000)), MinRequests: uint64(b.Int("requests", 100, 1, 1e9)), WithinMs: b.Duration("within", 5*time.Minute, time.Second, 24*time.Hour).Milliseconds()}
			})
			if why := r.Check(); why != "" {
				b.AddFault("%s", why)
			}
			if r.Kind == "gateways" && r.Version == "" && !r.HealthLimits.Disabled {
				b.AddFault("health compares versions, and no version is named: want version = what the new gateways say")
			}
			if r.AutoBack && len(r.UndoCommand) == 0 {
				b.AddFault("on_halt is \"back\", and no command back is named")
			}
		})
		if r.Name == "" {
			b.AddFault("no block release, want one with a name, a command and steps")
		}
	})
	return r, err
}

// progress is one line on a release.
func progress(r *agreed.Release, now int64) string {
	n := map[string]int{}
	for _, it := range r.Items {
		n[it.State]++
	}
	var parts []string
	for _, s := range []string{agreed.ItemDone, agreed.ItemUndone, agreed.ItemOut, agreed.ItemGranted, agreed.ItemWaiting, agreed.ItemUndo, agreed.ItemFailed} {
		if n[s] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n[s], s))
		}
	}
	line := fmt.Sprintf("release %s: %s, step %d of %d (%s), %s", r.Name, r.State, r.Step+1, len(r.Steps), r.Steps[r.Step].Name, strings.Join(parts, ", "))
	if r.Driver != "" && now < r.DriverUntil && !r.Ended() {
		line += "; driven by " + r.Driver
	}
	if r.Reason != "" {
		line += ": " + r.Reason
	}
	return line
}

// released is a release as the council has it, the leader's word if it can be had.
func (c *councillors) released(name string) (*agreed.Release, *status, error) {
	s, err := c.status()
	if err != nil {
		return nil, nil, err
	}
	for i := range s.Releases {
		if s.Releases[i].Name == name {
			return &s.Releases[i], s, nil
		}
	}
	return nil, s, fmt.Errorf("there is no release %q", name)
}

// addRelease adds the commands of releases.
func addRelease(c *cobra.Command, admin *string, asJSON *bool) {
	rel := &cobra.Command{Use: "release", Short: "plan, drive, halt and take back releases"}
	rel.AddCommand(&cobra.Command{Use: "plan FILE", Short: "what would go out when, the longest time, and why it can't be kept; changes nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := readPlan(args[0])
			if err != nil {
				return err
			}
			s, err := newCouncillors(*admin).status()
			if err != nil {
				return err
			}
			var budgets []agreed.Budget
			for _, b := range s.Budgets {
				budgets = append(budgets, agreed.Budget{Kind: b.Of, Zone: b.Zone, Group: b.Group, MaxOut: b.Most, MaxFraction: b.Share})
			}
			legs := r.Forecast(s.Targets, budgets)
			if *asJSON {
				return show(cmd.OutOrStdout(), legs, nil)
			}
			return printPlan(cmd.OutOrStdout(), &r, legs)
		}})
	rel.AddCommand(&cobra.Command{Use: "run FILE|NAME", Short: "drive a release, planning it first from FILE; or stand by, and go on when its driver is gone", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := args[0]
			c := newCouncillors(*admin)
			if _, err := os.Stat(name); err == nil {
				r, err := readPlan(name)
				if err != nil {
					return err
				}
				name = r.Name
				if _, _, err := c.released(name); err != nil {
					if err := granted(c.do(time.Now().Add(10*time.Second), map[string]any{"op": "plan", "release": r})); err != nil {
						return err
					}
				}
			}
			return drive(cmd.OutOrStdout(), c, name, agreed.Finished)
		}})
	rel.AddCommand(&cobra.Command{Use: "watch NAME", Short: "tell how a release goes until it ends or is halted", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, last := newCouncillors(*admin), ""
			for {
				r, s, err := c.released(args[0])
				if err != nil {
					return err
				}
				if *asJSON {
					return show(cmd.OutOrStdout(), r, nil)
				}
				if line := progress(r, s.TimeMs); line != last {
					last = line
					_, _ = fmt.Fprintln(cmd.OutOrStdout(), line)
				}
				if r.Ended() || r.State == agreed.Halted {
					return nil
				}
				time.Sleep(watchEach)
			}
		}})
	var reason string
	steer := func(use, short, word, end string) {
		var leave bool
		s := &cobra.Command{Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			c := newCouncillors(*admin)
			if err := granted(c.do(time.Now().Add(10*time.Second), map[string]any{"op": "steer", "name": args[0], "steer": word, "reason": reason})); err != nil {
				return err
			}
			if end == "" || leave {
				return nil
			}
			return drive(cmd.OutOrStdout(), c, args[0], end)
		}}
		s.Flags().StringVar(&reason, "reason", "", "for the history")
		if end != "" {
			s.Flags().BoolVar(&leave, "no-drive", false, "another process drives it")
		}
		rel.AddCommand(s)
	}
	steer("halt", "let nothing more go out by a release; what is out comes back", "halt", "")
	steer("resume", "go on with a halted release, what failed tried anew, and drive it", "resume", agreed.Finished)
	steer("back", "take a release back, under the same budgets, and drive that", "back", agreed.RolledBack)
	history := func() *cobra.Command {
		return &cobra.Command{Use: "history [NAME]", Short: "who asked what of the council, and what came of it", Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			c := newCouncillors(*admin)
			err := errors.New("no admin address, want --admin host:port,...")
			for _, a := range c.admins {
				var all []agreed.Entry
				if _, err = call(a, http.MethodGet, "/v1/history", nil, &all); err != nil {
					continue
				}
				if len(args) > 0 {
					all = slices.DeleteFunc(all, func(e agreed.Entry) bool { return e.Target != args[0] })
				}
				if *asJSON {
					return show(cmd.OutOrStdout(), all, nil)
				}
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
				_, _ = fmt.Fprintln(w, "COUNCIL TIME\tINDEX\tWHO\tWHAT\tOF\tFENCE\tRESULT")
				for _, e := range all {
					_, _ = fmt.Fprintf(w, "%v\t%d\t%s\t%s\t%s\t%d\t%s\n", time.Duration(e.At)*time.Millisecond, e.Index, e.Actor, e.Action, e.Target, e.Fence, e.Result)
				}
				return w.Flush()
			}
			return exitError{exUnavailable, err}
		}}
	}
	rel.AddCommand(history())
	c.AddCommand(rel, history())
}

func printPlan(out io.Writer, r *agreed.Release, legs []agreed.StepForecast) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "STEP\tTARGETS\tROUNDS\tAT MOST\tPAUSE\tWHICH")
	var most int64
	var cannot []string
	for _, l := range legs {
		which := strings.Join(l.Targets[:min(len(l.Targets), 6)], " ")
		if len(l.Targets) > 6 {
			which += " ..."
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%v\t%v\t%s\n", l.Step, len(l.Targets), l.Rounds, time.Duration(l.MaxMs)*time.Millisecond, time.Duration(l.MinMs)*time.Millisecond, which)
		most += l.MaxMs
		if l.Infeasible != "" {
			cannot = append(cannot, fmt.Sprintf("step %s: %s", l.Step, l.Infeasible))
		}
	}
	_ = w.Flush()
	_, _ = fmt.Fprintf(out, "%s takes %v at the longest, with nothing else out\n", r.Name, time.Duration(most)*time.Millisecond)
	if len(cannot) > 0 {
		return errors.New("the plan can't be kept: " + strings.Join(cannot, "; "))
	}
	return nil
}

// driver drives a release: it asks for one target after another, runs the plan's command for each, and tells how it ended.
// What goes out and whether it is back is the council's to decide.
type driver struct {
	out  io.Writer
	mu   sync.Mutex // one command to the council at a time, in the order of their numbers
	c    *councillors
	name string

	fence uint64
	until time.Time // of its term, by its own clock, counted from before it asked
	runs  sync.WaitGroup
	left  map[string]bool // targets whose commands run here
}

func (d *driver) do(until time.Time, q map[string]any) (*result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q["name"] = d.name
	if _, ok := q["fence"]; !ok {
		q["fence"] = d.fence
	}
	return d.c.do(until, q)
}

// drive drives a release until it ends or is halted, or stands by while another process does. It fails unless the
// release ends as wanted.
func drive(out io.Writer, c *councillors, name, want string) error {
	d := &driver{out: out, c: c, name: name, left: map[string]bool{}}
	defer d.runs.Wait()
	last, renewAt := "", time.Time{}
	unheard := time.Now()
	for {
		r, s, err := c.released(name)
		if err != nil && s != nil {
			return err
		}
		if err == nil {
			unheard = time.Now()
			if line := progress(r, s.TimeMs); line != last {
				last = line
				_, _ = fmt.Fprintln(out, line)
			}
			if s.Leading && (r.Ended() || r.State == agreed.Halted) && !d.busy() {
				if r.State != want {
					return fmt.Errorf("release %s is %s: %s", name, r.State, r.Reason)
				}
				return nil
			}
		} else if time.Since(unheard) > 10*time.Minute {
			return exitError{exUnavailable, err}
		}
		if now := time.Now(); now.After(renewAt) {
			res, err := d.do(now.Add(2*time.Second), map[string]any{"op": "drive", "term_ms": driveTerm.Milliseconds()})
			switch {
			case err == nil && res.OK:
				d.fence, d.until = res.Fence, now.Add(driveTerm)
				renewAt = now.Add(driveEvery)
			case err == nil && res.State == agreed.CompetingRelease: // it never began, and another one moves
				return errors.New(res.Refused)
			case err == nil:
				d.fence, renewAt = 0, now.Add(time.Second) // another one drives
			default:
				renewAt = now.Add(retryEach)
			}
		}
		if d.fence != 0 && time.Now().Before(d.until) && r != nil && (r.State == agreed.Running || r.State == agreed.RollingBack) {
			for range r.MaxTogether { // as many as there is room for
				if !d.next(r) {
					break
				}
			}
		}
		time.Sleep(nextEvery)
	}
}

func (d *driver) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.left) > 0
}

// next asks for a target, and begins its command if one is granted, which it tells.
func (d *driver) next(r *agreed.Release) bool {
	asked := time.Now()
	res, err := d.do(asked.Add(2*time.Second), map[string]any{"op": "next"})
	if err != nil || !res.OK || res.Permit == nil {
		return false
	}
	p, fence := res.Permit, d.fence
	words := r.Command
	version := r.Version
	if res.Back {
		words, version = r.UndoCommand, r.Former
	}
	d.mu.Lock()
	d.left[p.Target] = true
	d.mu.Unlock()
	d.runs.Add(1)
	go func() {
		defer d.runs.Done()
		defer func() {
			d.mu.Lock()
			delete(d.left, p.Target)
			d.mu.Unlock()
		}()
		kill := asked.Add(time.Duration(r.TermMs) * time.Millisecond)
		if strings.HasPrefix(p.Target, "db/") {
			time.Sleep(noticeDB)
		}
		res, err := d.do(kill, map[string]any{"op": "started", "target": p.Target, "fence": fence})
		if err != nil || !res.OK || time.Now().After(kill) {
			return // it never began: the council takes it back by itself
		}
		_, _ = fmt.Fprintf(d.out, "%s goes out under permit %d\n", p.Target, p.Fence)
		why := d.run(words, p, version, kill)
		if why != "" {
			_, _ = fmt.Fprintf(d.out, "%s failed: %s\n", p.Target, why)
		}
		_, _ = d.do(time.Now().Add(tellFor), map[string]any{"op": "ended", "target": p.Target, "fence": fence, "ok": why == "", "reason": why})
	}()
	return true
}

// run runs the plan's command for a target and returns why it failed, empty if it did not.
func (d *driver) run(words []string, p *permit, version string, kill time.Time) string {
	var args []string
	for _, w := range words {
		args = append(args, strings.NewReplacer("{target}", p.Target, "{name}", p.Target[strings.IndexByte(p.Target, '/')+1:], "{version}", version).Replace(w))
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = d.out, d.out
	cmd.Env = append(os.Environ(), "REACHWIND_FENCE="+strconv.FormatUint(p.Fence, 10), "REACHWIND_TARGET="+p.Target, "REACHWIND_VERSION="+version)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		return err.Error()
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	stop := kill.Add(-min(termGrace, time.Until(kill)/5))
	select {
	case err := <-ended:
		if err != nil {
			return err.Error()
		}
		return ""
	case <-time.After(time.Until(stop)):
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(time.Until(kill)):
		_ = cmd.Process.Kill()
		<-ended
	}
	return "its permit ended, the command was stopped"
}
