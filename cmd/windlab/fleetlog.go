package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// fleetlogCommand counts the gateways' log lines over a whole fleet: what is rare in each log may come all at
// one moment.
func fleetlogCommand() *cobra.Command {
	return &cobra.Command{Use: "fleetlog FILE...", Short: "count log lines of many gateways by second, and the time to the first list",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var f fleetlog
			for _, path := range args {
				file, err := os.Open(path)
				if err != nil {
					return err
				}
				err = f.read(file)
				_ = file.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", filepath.Base(path), err)
				}
			}
			f.report(c.OutOrStdout())
			return nil
		}}
}

// fleetlog is what was counted so far.
type fleetlog struct {
	counts map[int64]map[string]int // by second and kind of line
	waits  []time.Duration          // from a start to the first list
	never  int                      // starts that no list followed
}

var (
	lineTime = regexp.MustCompile(`time=(\S+)`)
	lineText = regexp.MustCompile(`msg=("[^"]*"|\S+)`)
	lineName = regexp.MustCompile(`\bs-[0-9a-z]+\b|[0-9]+`)
)

// read takes one gateway's log. Lines of other forms are passed over.
func (f *fleetlog) read(r io.Reader) error {
	if f.counts == nil {
		f.counts = map[int64]map[string]int{}
	}
	var started time.Time
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		at, text := lineTime.FindStringSubmatch(lines.Text()), lineText.FindStringSubmatch(lines.Text())
		if at == nil || text == nil {
			continue
		}
		t, err := time.Parse(time.RFC3339Nano, at[1])
		if err != nil {
			continue
		}
		kind := lineName.ReplaceAllString(strings.Trim(text[1], `"`), "*")
		second := f.counts[t.Unix()]
		if second == nil {
			second = map[string]int{}
			f.counts[t.Unix()] = second
		}
		second[kind]++
		switch {
		case kind == "serving":
			if !started.IsZero() {
				f.never++
			}
			started = t
		case kind == "list" && !started.IsZero():
			f.waits, started = append(f.waits, t.Sub(started)), time.Time{}
		}
	}
	if !started.IsZero() {
		f.never++
	}
	return lines.Err()
}

// report writes a line a second, the most frequent kinds first.
func (f *fleetlog) report(w io.Writer) {
	seconds := slices.Sorted(maps.Keys(f.counts))
	for _, s := range seconds {
		kinds := slices.SortedFunc(maps.Keys(f.counts[s]), func(a, b string) int {
			return cmp.Or(cmp.Compare(f.counts[s][b], f.counts[s][a]), strings.Compare(a, b))
		})
		_, _ = fmt.Fprintf(w, "%4d s", s-seconds[0])
		for _, k := range kinds {
			_, _ = fmt.Fprintf(w, "  %d %s", f.counts[s][k], k)
		}
		_, _ = fmt.Fprintln(w)
	}
	slices.Sort(f.waits)
	if n := len(f.waits); n > 0 {
		_, _ = fmt.Fprintf(w, "first list after a start: %d, median %v, last %v; never: %d\n",
			n, f.waits[n/2].Round(time.Millisecond), f.waits[n-1].Round(time.Millisecond), f.never)
	} else {
		_, _ = fmt.Fprintf(w, "first list after a start: none; never: %d\n", f.never)
	}
}
