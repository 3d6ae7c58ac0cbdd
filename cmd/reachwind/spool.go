package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/spool"
)

// spoolCommand builds the commands that inspect spools. They change nothing, so they may run beside the gateway.
func spoolCommand() *cobra.Command {
	root := &cobra.Command{Use: "spool", Short: "inspect a folder of records that wait for collectors"}
	sub := func(name, short string, do func(out io.Writer, dir string) error) {
		root.AddCommand(&cobra.Command{Use: name + " DIR", Short: short, Args: cobra.ExactArgs(1),
			Long: short + ". DIR is one collector's folder, or the spool folder with those of all.",
			RunE: func(c *cobra.Command, args []string) error {
				dirs, err := spoolDirs(args[0])
				if err != nil {
					return err
				}
				for _, d := range dirs {
					if err := do(c.OutOrStdout(), d); err != nil {
						return fmt.Errorf("%s: %w", d, err)
					}
				}
				return nil
			}})
	}
	sub("ls", "print totals: the records that wait, and the time of the oldest", spoolLs)
	sub("cat", "print the messages that wait, one per line", spoolCat)
	sub("verify", "read everything and fail if any record is corrupt", spoolVerify)
	return root
}

// spoolDirs returns the collectors' folders in dir, or dir itself if it has none.
func spoolDirs(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var dirs []string
	for _, e := range entries {
		if e.IsDir() && strings.HasPrefix(e.Name(), "c-") {
			dirs = append(dirs, filepath.Join(dir, e.Name()))
		}
	}
	if len(dirs) == 0 {
		dirs = []string{dir}
	}
	return dirs, nil
}

// openSpool opens the spool in dir for reading.
func openSpool(dir string) (*spool.Spool, spool.Found, error) {
	return spool.Open(spool.Dir(dir), spool.Options{ReadOnly: true, Most: 1 << 62})
}

// spoolLs prints the totals of a spool.
func spoolLs(out io.Writer, dir string) error {
	s, found, err := openSpool(dir)
	if err != nil {
		return err
	}
	defer s.Close()
	first, last, oldest := uint64(0), uint64(0), time.Duration(0)
	err = forEachRecord(s, func(r *spool.Record) error {
		if first == 0 || r.Seq < first {
			first = r.Seq
		}
		if oldest == 0 || r.At < oldest {
			oldest = r.At
		}
		last = max(last, r.Seq)
		return nil
	})
	_, _ = fmt.Fprintf(out, "%s: %d records wait, numbers %d to %d, %d segments, %d bytes, %d torn, %d rotten places",
		dir, found.Records, first, last, found.Segments, found.Bytes, found.Torn, found.Rotten)
	if oldest > 0 {
		_, _ = fmt.Fprintf(out, ", oldest of %s", time.Unix(0, int64(oldest)).UTC().Format(time.RFC3339))
	}
	_, _ = fmt.Fprintln(out)
	return err
}

// spoolCat prints the messages of a spool.
func spoolCat(out io.Writer, dir string) error {
	s, _, err := openSpool(dir)
	if err != nil {
		return err
	}
	defer s.Close()
	return forEachRecord(s, func(r *spool.Record) error {
		_, err := fmt.Fprintf(out, "%s\n", r.Msg)
		return err
	})
}

// spoolVerify reads a spool to its end. It returns an error if a record is corrupt.
func spoolVerify(out io.Writer, dir string) error {
	s, found, err := openSpool(dir)
	if err != nil {
		return err
	}
	defer s.Close()
	n := 0
	if err := forEachRecord(s, func(*spool.Record) error { n++; return nil }); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%s: %d records read, %d rotten places, %d torn tails\n", dir, n, found.Rotten, found.Torn)
	if found.Rotten > 0 {
		return errors.New("the spool has corrupt records")
	}
	return nil
}

// forEachRecord calls handle with every record of a spool, and stops at the first error.
func forEachRecord(s *spool.Spool, handle func(*spool.Record) error) error {
	for {
		records, _, err := s.Read(1<<20, func(uint64) bool { return true })
		if err != nil || len(records) == 0 {
			return err
		}
		for i := range records {
			if err := handle(&records[i]); err != nil {
				return err
			}
		}
	}
}
