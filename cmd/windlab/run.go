package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"sort"

	"github.com/spf13/cobra"
)

// lab is what an experiment is told.
type lab struct {
	out   io.Writer
	seed  uint64
	quick bool
	round int    // how often each case is played, 0 = as the experiment has it
	size  int    // only of this size, 0 = as the experiment has it
	base  string // an earlier build of the gateway to compare with, empty: none
	dir   string // a folder that goes afterwards
}

// experiment plays a script. It returns its figures, and an error if what it promises did not hold.
type experiment struct {
	short string
	run   func(*lab) (any, error)
}

var experiments = map[string]experiment{
	"syslog-surge": {"latency and accounts with collectors healthy, stopped and stalled, through a surge", syslogSurge},
	"spool-kill":   {"SIGKILL while the spool is written, thousands of times", spoolKill},
	"keys":         {"certificates change each second under load", keyChange},
	"membership":   {"the group by size in virtual time: time to one view, bytes, CPU, false suspicions", membership},
	"group-size":   {"groups of processes by size: time to one view, CPU, memory, bytes", groupSize},
	"beliefs":      {"gateways that know each other against the same alone, through crashes, hangs and restarts of members", beliefs},
	"fleet-cost":   {"CPU a request, p99 and memory with the block fleet on and off", fleetCost},
	"guards":       {"each guard of the group switched off: which day misses it, in virtual time", guards},
	"council":      {"councils in virtual time: histories checked, each guard switched off", councilRun},
	"group-faults": {"drawn faults between processes of a group, by seed", groupFaults},
	"group-days":   {"drawn days of the group in virtual time", simdays},
	"release":      {"releases by processes under drawn faults of drivers, voters and links", releaseRun},
	"council-cost": {"a council by the number of its subscribers: time to grant, to tell and to halt, CPU, disk, recovery", councilCost},
	"rollout":      {"releases of 40 to 1000 gateways in virtual time against the least that their budgets allow", rollout},
	"upgrade":      {"a council and a fleet from an earlier build (--base) to this one, back, and here again", upgrade},
	"cost":         {"CPU a request and memory, without and with syslog, against an earlier build", cost},
}

func runCommand() *cobra.Command {
	var jsonFile string
	l := &lab{}
	c := &cobra.Command{Use: "run NAME", Short: "run an experiment; exits 0 only if what it promises held", Args: cobra.ExactArgs(1)}
	c.Long = c.Short + ".\n\nExperiments:\n"
	var names []string
	for n := range experiments {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		c.Long += fmt.Sprintf("  %-14s %s\n", n, experiments[n].short)
	}
	flags := c.Flags()
	flags.Uint64Var(&l.seed, "seed", 1, "of all that is drawn")
	flags.BoolVar(&l.quick, "quick", false, "a short form")
	flags.IntVar(&l.round, "rounds", 0, "how often each case is played; 0: as the experiment has it")
	flags.IntVar(&l.size, "size", 0, "only groups of this size; 0: as the experiment has it")
	flags.StringVar(&l.base, "base", "", "`program` of an earlier build, for comparisons")
	flags.StringVar(&jsonFile, "json", "", "write the figures to this `file` too")
	c.RunE = func(c *cobra.Command, args []string) error {
		e, ok := experiments[args[0]]
		if !ok {
			return fmt.Errorf("no experiment %q, want one of %v", args[0], names)
		}
		l.out = c.OutOrStdout()
		dir, err := os.MkdirTemp("", "windlab-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		l.dir = dir
		_, _ = fmt.Fprintf(l.out, "%s, seed %d, quick %v, %d cores\n", args[0], l.seed, l.quick, runtime.NumCPU())
		figures, failed := e.run(l)
		if jsonFile != "" && figures != nil {
			text, err := json.MarshalIndent(figures, "", "  ")
			if err == nil {
				err = os.WriteFile(jsonFile, append(text, '\n'), 0o644)
			}
			failed = errors.Join(failed, err)
		}
		if failed == nil {
			_, _ = fmt.Fprintln(l.out, "held")
		}
		return failed
	}
	return c
}
