package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/spool"
)

// payload is what a record of a number holds, so that a checker needs no copy.
func payload(seq uint64) []byte {
	n := 100 + int(seq*2654435761%700)
	b := make([]byte, 0, n+32)
	for i := uint64(0); len(b) < n; i++ {
		b = strconv.AppendUint(b, seq*31+i, 36)
	}
	return strconv.AppendUint(append(b, '#'), uint64(crc32.ChecksumIEEE(b)), 10)
}

func spoolOptions() spool.Options {
	return spool.Options{Owner: "lab/office", Most: 64 << 20, Segment: 256 << 10}
}

// spoolWriter writes to a spool until it is killed: "S n" on its output tells that all up to n is synced, "D n"
// that all up to n is wanted no longer.
func spoolWriterCommand() *cobra.Command {
	return &cobra.Command{Use: "spool-writer DIR FIRST", Hidden: true, Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
		first, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil {
			return err
		}
		s, _, err := spool.Open(spool.Dir(args[0]), spoolOptions())
		if err != nil {
			return err
		}
		out := c.OutOrStdout()
		r := rand.New(rand.NewPCG(first, 2))
		seq, done := first, first
		for begin := time.Now(); time.Since(begin) < 5*time.Second; { // killed long before
			var records []spool.Record
			for range 1 + r.IntN(40) {
				records = append(records, spool.Record{Seq: seq, At: time.Duration(seq), Route: "all", Msg: payload(seq)})
				seq++
			}
			if err := s.Reserve(seq); err != nil {
				return err
			}
			if err := s.Append(records); err != nil {
				return err
			}
			if r.IntN(3) == 0 {
				if err := s.Sync(); err != nil {
					return err
				}
				if _, err := fmt.Fprintf(out, "S %d\n", seq-1); err != nil {
					return err
				}
			}
			if seq-done > 2000 { // what was handed over; told before it is done, so the checker may miss none
				if _, err := fmt.Fprintf(out, "D %d\n", seq-1000); err != nil {
					return err
				}
				var gone []uint64
				for ; done <= seq-1000; done++ {
					gone = append(gone, done)
				}
				if err := s.Done(gone); err != nil {
					return err
				}
			}
		}
		return nil
	}}
}

// readSpool reads all that is pending and checks each record to the byte.
func readSpool(s *spool.Spool) (map[uint64]bool, error) {
	have := map[uint64]bool{}
	for {
		records, _, err := s.Read(1<<20, func(uint64) bool { return true })
		if err != nil || len(records) == 0 {
			return have, err
		}
		for _, r := range records {
			if string(r.Msg) != string(payload(r.Seq)) {
				return have, fmt.Errorf("record %d came back as %.60q", r.Seq, r.Msg)
			}
			if have[r.Seq] {
				return have, fmt.Errorf("record %d came back twice", r.Seq)
			}
			have[r.Seq] = true
		}
	}
}

func spoolKill(l *lab) (any, error) {
	kills := 2000
	sizes := []int64{16 << 20, 64 << 20, 256 << 20, 1 << 30}
	if l.quick {
		kills, sizes = 40, sizes[:1]
	}
	me, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(l.seed, 3))
	dir := filepath.Join(l.dir, "spool")
	first, torn, rotten, kept, checked := uint64(1), 0, 0, 0, uint64(0)
	var after []time.Duration
	for n := range kills {
		cmd := exec.Command(me, "spool-writer", dir, fmt.Sprint(first))
		pipe, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		end := time.AfterFunc(time.Duration(2+r.IntN(20))*time.Millisecond, func() { _ = cmd.Process.Kill() })
		synced, done := first-1, first-1
		for in := bufio.NewScanner(pipe); in.Scan(); {
			word, num, _ := strings.Cut(in.Text(), " ")
			v, _ := strconv.ParseUint(num, 10, 64)
			switch word {
			case "S":
				synced = v
			case "D":
				done = v
			}
		}
		_, _ = io.Copy(io.Discard, pipe)
		_ = cmd.Wait()
		end.Stop()
		begun := time.Now()
		s, found, err := spool.Open(spool.Dir(dir), spoolOptions())
		if err != nil {
			return nil, fmt.Errorf("after kill %d: %w", n, err)
		}
		after = append(after, time.Since(begun))
		have, err := readSpool(s)
		if err != nil {
			return nil, fmt.Errorf("after kill %d: %w", n, err)
		}
		for q := max(first, done+1); q <= synced; q++ {
			if !have[q] {
				return nil, fmt.Errorf("after kill %d: record %d was synced and is gone", n, q)
			}
			checked++
		}
		torn, rotten, kept = torn+found.Torn, rotten+found.Rotten, kept+len(have)
		if found.Next <= synced {
			return nil, fmt.Errorf("after kill %d: number %d would be used again", n, found.Next)
		}
		first = found.Next
		var all []uint64
		for q := range have {
			all = append(all, q)
		}
		if err := s.Done(all); err != nil {
			return nil, err
		}
		s.Close()
		if rotten > 0 {
			return nil, errors.New("a record was rotten: kills tear, they do not rot")
		}
	}
	_, _ = fmt.Fprintf(l.out, "%d kills: %d records found after them, %d of them synced before and all there, %d tails cut off, none corrupt\n", kills, kept, checked, torn)
	type recovery struct {
		Bytes   int64   `json:"bytes"`
		Records int     `json:"records"`
		Seconds float64 `json:"seconds"`
	}
	var times []recovery
	for _, size := range sizes {
		dir := filepath.Join(l.dir, fmt.Sprint("size-", size))
		o := spool.Options{Owner: "lab/office", Most: 2 * size}
		s, _, err := spool.Open(spool.Dir(dir), o)
		if err != nil {
			return nil, err
		}
		for seq := uint64(1); s.Bytes() < size; {
			var records []spool.Record
			for range 500 {
				records = append(records, spool.Record{Seq: seq, At: time.Duration(seq), Route: "all", Msg: payload(seq)})
				seq++
			}
			if err := s.Append(records); err != nil {
				return nil, err
			}
		}
		_ = s.Sync()
		s.Close()
		begun := time.Now()
		s, found, err := spool.Open(spool.Dir(dir), o)
		if err != nil {
			return nil, err
		}
		took := time.Since(begun)
		s.Close()
		_ = os.RemoveAll(dir)
		times = append(times, recovery{found.Bytes, found.Records, took.Seconds()})
		_, _ = fmt.Fprintf(l.out, "recovery of %4d MB, %8d records: %.3f s\n", found.Bytes>>20, found.Records, took.Seconds())
	}
	return map[string]any{"kills": kills, "found": kept, "checked": checked, "torn": torn, "recovery": times}, nil
}
