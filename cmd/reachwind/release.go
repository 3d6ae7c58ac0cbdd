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
	driveTerm          = 10 * time.Second
	driveRenewInterval = 2 * time.Second        // between renewals of the driver's term
	drivePollInterval  = 200 * time.Millisecond // between requests for the next targets
	reportTimeout      = time.Minute            // for reporting a command's result to the council, retries included
)

// readPlan reads the plan of a release, which is an HCL file with one block `release`.
func readPlan(path string) (r agreed.Release, err error) {
	err = edgeconf.Load(path, func(b *edgeconf.Block) {
		b.Blocks("release", true, func(b *edgeconf.Block) {
			if r.Name != "" {
				b.AddFault("a second block release, want one per file")
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
				b.AddFault("health compares versions, and no version is named: want version = what the new gateways report")
			}
			if r.AutoBack && len(r.UndoCommand) == 0 {
				b.AddFault("on_halt is \"back\", and no command is named by back")
			}
		})
		if r.Name == "" {
			b.AddFault("no block release, want one with a name, a command and steps")
		}
	})
	return r, err
}

// progressLine describes a release in one line. now is the council's time in milliseconds.
func progressLine(r *agreed.Release, now int64) string {
	counts := map[string]int{}
	for _, it := range r.Items {
		counts[it.State]++
	}
	var parts []string
	for _, s := range []string{agreed.ItemDone, agreed.ItemUndone, agreed.ItemOut, agreed.ItemGranted, agreed.ItemWaiting, agreed.ItemUndo, agreed.ItemFailed} {
		if counts[s] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[s], s))
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

// release returns a release and the status that it is from, see status. If there is no such release the status comes with
// the error; if the council does not answer it is nil.
func (c *councilClient) release(name string) (*agreed.Release, *status, error) {
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

// addReleaseCommands adds the commands on releases and the history.
func addReleaseCommands(c *cobra.Command, admin *string, asJSON *bool) {
	rel := &cobra.Command{Use: "release", Short: "plan, drive, halt and take back releases"}
	rel.AddCommand(&cobra.Command{Use: "plan FILE", Short: "show the steps of a release, its longest duration, and why it can't be carried out, if so; changes nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := readPlan(args[0])
			if err != nil {
				return err
			}
			s, err := newCouncilClient(*admin).status()
			if err != nil {
				return err
			}
			var budgets []agreed.Budget
			for _, b := range s.Budgets {
				budgets = append(budgets, agreed.Budget{Kind: b.Of, Zone: b.Zone, Group: b.Group, MaxOut: b.Max, MaxFraction: b.MaxShare})
			}
			forecast := r.Forecast(s.Targets, budgets)
			if *asJSON {
				return writeJSON(cmd.OutOrStdout(), forecast, nil)
			}
			return printForecast(cmd.OutOrStdout(), &r, forecast)
		}})
	rel.AddCommand(&cobra.Command{Use: "run FILE|NAME", Short: "drive a release, planning it first from FILE; or stand by, and take over when its driver is gone", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := args[0]
			c := newCouncilClient(*admin)
			if _, err := os.Stat(name); err == nil {
				r, err := readPlan(name)
				if err != nil {
					return err
				}
				name = r.Name
				if _, _, err := c.release(name); err != nil {
					if err := checkResult(c.submit(time.Now().Add(10*time.Second), map[string]any{"op": "plan", "release": r})); err != nil {
						return err
					}
				}
			}
			return drive(cmd.OutOrStdout(), c, name, agreed.Finished)
		}})
	rel.AddCommand(&cobra.Command{Use: "watch NAME", Short: "print the progress of a release until it ends or is halted", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, last := newCouncilClient(*admin), ""
			for {
				r, s, err := c.release(args[0])
				if err != nil {
					return err
				}
				if *asJSON {
					return writeJSON(cmd.OutOrStdout(), r, nil)
				}
				if line := progressLine(r, s.TimeMs); line != last {
					last = line
					_, _ = fmt.Fprintln(cmd.OutOrStdout(), line)
				}
				if r.Ended() || r.State == agreed.Halted {
					return nil
				}
				time.Sleep(watchInterval)
			}
		}})
	var reason string
	steer := func(use, short, word, end string) {
		var leave bool
		s := &cobra.Command{Use: use + " NAME", Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			c := newCouncilClient(*admin)
			if err := checkResult(c.submit(time.Now().Add(10*time.Second), map[string]any{"op": "steer", "name": args[0], "steer": word, "reason": reason})); err != nil {
				return err
			}
			if end == "" || leave {
				return nil
			}
			return drive(cmd.OutOrStdout(), c, args[0], end)
		}}
		s.Flags().StringVar(&reason, "reason", "", "reason shown in the history")
		if end != "" {
			s.Flags().BoolVar(&leave, "no-drive", false, "do not drive it: another process does")
		}
		rel.AddCommand(s)
	}
	steer("halt", "start no more targets of a release; those that are out come back", "halt", "")
	steer("resume", "continue and drive a halted release; failed targets are retried", "resume", agreed.Finished)
	steer("back", "roll a release back under the same budgets, and drive that", "back", agreed.RolledBack)
	history := func() *cobra.Command {
		return &cobra.Command{Use: "history [NAME]", Short: "list the commands given to the council, by whom, and their results", Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			c := newCouncilClient(*admin)
			err := errors.New("no admin address, want --admin host:port,...")
			for _, a := range c.addresses {
				var all []agreed.Entry
				if _, err = callAdmin(a, http.MethodGet, "/v1/history", nil, &all); err != nil {
					continue
				}
				if len(args) > 0 {
					all = slices.DeleteFunc(all, func(e agreed.Entry) bool { return e.Target != args[0] })
				}
				if *asJSON {
					return writeJSON(cmd.OutOrStdout(), all, nil)
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

func printForecast(out io.Writer, r *agreed.Release, forecast []agreed.StepForecast) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "STEP\tTARGETS\tROUNDS\tAT MOST\tPAUSE\tWHICH")
	var total int64
	var obstacles []string
	for _, l := range forecast {
		which := strings.Join(l.Targets[:min(len(l.Targets), 6)], " ")
		if len(l.Targets) > 6 {
			which += " ..."
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%v\t%v\t%s\n", l.Step, len(l.Targets), l.Rounds, time.Duration(l.MaxMs)*time.Millisecond, time.Duration(l.MinMs)*time.Millisecond, which)
		total += l.MaxMs
		if l.Infeasible != "" {
			obstacles = append(obstacles, fmt.Sprintf("step %s: %s", l.Step, l.Infeasible))
		}
	}
	_ = w.Flush()
	_, _ = fmt.Fprintf(out, "%s takes %v at the longest, with nothing else out\n", r.Name, time.Duration(total)*time.Millisecond)
	if len(obstacles) > 0 {
		return errors.New("the plan can't be carried out: " + strings.Join(obstacles, "; "))
	}
	return nil
}

// driver drives a release: it requests one target after another, runs the plan's command for each, and reports the result.
// The council decides which target goes out, and whether it is back.
type driver struct {
	out     io.Writer
	mu      sync.Mutex // held during a command to the council, which takes them in the order of their numbers; guards running
	council *councilClient
	release string

	fence    uint64          // of its term as the driver; 0: it does not drive
	termEnd  time.Time       // end of its term, by its own clock, counted from before its request
	commands sync.WaitGroup  // commands that run here
	running  map[string]bool // targets whose commands run here
}

// submit submits a command on the release under the driver's fence, unless q has a fence.
func (d *driver) submit(until time.Time, q map[string]any) (*result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q["name"] = d.release
	if _, ok := q["fence"]; !ok {
		q["fence"] = d.fence
	}
	return d.council.submit(until, q)
}

// drive drives a release until it ends or is halted, or stands by while another process drives it. It returns an error
// unless the release ends in state wantState.
func drive(out io.Writer, c *councilClient, name, wantState string) error {
	d := &driver{out: out, council: c, release: name, running: map[string]bool{}}
	defer d.commands.Wait()
	last, renewAt := "", time.Time{}
	lastHeard := time.Now()
	for {
		r, s, err := c.release(name)
		if err != nil && s != nil {
			return err
		}
		if err == nil {
			lastHeard = time.Now()
			if line := progressLine(r, s.TimeMs); line != last {
				last = line
				_, _ = fmt.Fprintln(out, line)
			}
			if s.Leading && (r.Ended() || r.State == agreed.Halted) && !d.busy() {
				if r.State != wantState {
					return fmt.Errorf("release %s is %s: %s", name, r.State, r.Reason)
				}
				return nil
			}
		} else if time.Since(lastHeard) > 10*time.Minute {
			return exitError{exUnavailable, err}
		}
		if now := time.Now(); now.After(renewAt) {
			res, err := d.submit(now.Add(2*time.Second), map[string]any{"op": "drive", "term_ms": driveTerm.Milliseconds()})
			switch {
			case err == nil && res.OK:
				d.fence, d.termEnd = res.Fence, now.Add(driveTerm)
				renewAt = now.Add(driveRenewInterval)
			case err == nil && res.State == agreed.CompetingRelease: // this release has not begun, and a competing one is in progress
				return errors.New(res.RefusalReason)
			case err == nil:
				d.fence, renewAt = 0, now.Add(time.Second) // another process drives
			default:
				renewAt = now.Add(retryInterval)
			}
		}
		if d.fence != 0 && time.Now().Before(d.termEnd) && r != nil && (r.State == agreed.Running || r.State == agreed.RollingBack) {
			for range r.MaxTogether { // as many as the council grants
				if !d.startNext(r) {
					break
				}
			}
		}
		time.Sleep(drivePollInterval)
	}
}

// busy reports whether commands run here.
func (d *driver) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running) > 0
}

// startNext requests a target. If one is granted it starts the target's command and returns true.
func (d *driver) startNext(r *agreed.Release) bool {
	asked := time.Now()
	res, err := d.submit(asked.Add(2*time.Second), map[string]any{"op": "next"})
	if err != nil || !res.OK || res.Permit == nil {
		return false
	}
	p, fence := res.Permit, d.fence
	command := r.Command
	version := r.Version
	if res.RollingBack {
		command, version = r.UndoCommand, r.Former
	}
	d.mu.Lock()
	d.running[p.Target] = true
	d.mu.Unlock()
	d.commands.Add(1)
	go func() {
		defer d.commands.Done()
		defer func() {
			d.mu.Lock()
			delete(d.running, p.Target)
			d.mu.Unlock()
		}()
		killAt := asked.Add(time.Duration(r.TermMs) * time.Millisecond)
		if strings.HasPrefix(p.Target, "db/") {
			time.Sleep(memberDrainNotice)
		}
		res, err := d.submit(killAt, map[string]any{"op": "started", "target": p.Target, "fence": fence})
		if err != nil || !res.OK || time.Now().After(killAt) {
			return // the command was not started, and the council takes the permit back by itself
		}
		_, _ = fmt.Fprintf(d.out, "%s goes out under permit %d\n", p.Target, p.Fence)
		failure := d.runCommand(command, p, version, killAt)
		if failure != "" {
			_, _ = fmt.Fprintf(d.out, "%s failed: %s\n", p.Target, failure)
		}
		_, _ = d.submit(time.Now().Add(reportTimeout), map[string]any{"op": "ended", "target": p.Target, "fence": fence, "ok": failure == "", "reason": failure})
	}()
	return true
}

// runCommand runs the plan's command for a target, and stops it before its permit ends at killAt. It returns the reason
// of a failure, empty if there was none.
func (d *driver) runCommand(command []string, p *permit, version string, killAt time.Time) string {
	var args []string
	for _, w := range command {
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
	stopAt := killAt.Add(-min(terminationGrace, time.Until(killAt)/5))
	select {
	case err := <-ended:
		if err != nil {
			return err.Error()
		}
		return ""
	case <-time.After(time.Until(stopAt)):
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(time.Until(killAt)):
		_ = cmd.Process.Kill()
		<-ended
	}
	return "its permit ended, the command was stopped"
}
