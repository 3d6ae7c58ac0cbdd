package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/standin/collector"
	"reachwind/internal/tlskeys"
)

// collectCommand is a syslog collector that checks what comes.
func collectCommand() *cobra.Command {
	var network, address, jsonFile string
	var files tlskeys.Files
	var lf, noCheck bool
	var last time.Duration
	c := &cobra.Command{Use: "collect", Short: "collect syslog messages, check each, and tell gaps from repeats", Args: cobra.NoArgs,
		Long: `Collect takes messages by UDP, TCP or TLS and checks each against RFC 5424's grammar.
Lines on standard input have it misbehave: "stop", "kill" (reset what is open), "resume",
"stall", "go", "slow 5ms", "reset 10" (each connection after so many messages).
It ends after --for, at the end of its input with --until-eof, or on SIGINT, with a summary.`}
	flags := c.Flags()
	flags.StringVar(&network, "transport", "tcp", "udp, tcp or tls")
	flags.StringVar(&address, "listen", "127.0.0.1:5514", "loopback `address`")
	flags.BoolVar(&lf, "lf", false, "tcp: a line feed ends a message; else octet counting")
	flags.StringVar(&files.Cert, "cert", "", "tls: certificate `file`")
	flags.StringVar(&files.Key, "key", "", "tls: key `file`")
	flags.StringVar(&files.CA, "ca", "", "tls: bundle `file` that clients' certificates must be by; empty: none wanted")
	flags.BoolVar(&noCheck, "no-grammar", false, "leave the slow grammar out, for high rates")
	flags.DurationVar(&last, "for", time.Hour, "end after `so long`")
	flags.StringVar(&jsonFile, "json", "", "write the summary to this `file` too")
	eof := flags.Bool("until-eof", false, "end at the end of standard input")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := loopback(address); err != nil {
			return err
		}
		conf := collector.Config{Network: network, Address: address, LF: lf, Check: !noCheck}
		switch network {
		case "udp", "tcp":
		case "tls":
			keys, err := tlskeys.Open(files)
			if err != nil {
				return err
			}
			conf.TLS = keys.Server(files.CA != "")
		default:
			return fmt.Errorf("transport is %q, want udp, tcp or tls", network)
		}
		k, err := collector.Start(conf)
		if err != nil {
			return err
		}
		out := c.OutOrStdout()
		_, _ = fmt.Fprintf(out, "collecting by %s at %s\n", network, k.Addr)
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		lines := make(chan string)
		go func() {
			defer close(lines)
			for in := bufio.NewScanner(c.InOrStdin()); in.Scan(); {
				lines <- in.Text()
			}
		}()
		end := time.After(last)
		for done := false; !done; {
			select {
			case line, ok := <-lines:
				if !ok {
					lines, done = nil, *eof
				} else if err := obey(k, line); err != nil {
					_, _ = fmt.Fprintln(out, err)
				}
			case <-stop:
				done = true
			case <-end:
				done = true
			}
		}
		k.Stop(false)
		sum := k.Book.Summary()
		printSummary(out, sum, k.Book.Faults())
		if jsonFile != "" {
			text, err := json.MarshalIndent(sum, "", "  ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(jsonFile, append(text, '\n'), 0o644); err != nil {
				return err
			}
		}
		if sum.Invalid > 0 {
			return fmt.Errorf("%d messages broke a rule", sum.Invalid)
		}
		return nil
	}
	return c
}

// loopback refuses addresses that others could reach.
func loopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("address %s, want one on loopback", address)
	}
	return nil
}

var errOrder = errors.New(`want stop, kill, resume, stall, go, slow TIME or reset NUMBER`)

func obey(k *collector.Collector, line string) error {
	word, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch word {
	case "stop":
		k.Stop(false)
	case "kill":
		k.Stop(true)
	case "resume":
		return k.Resume()
	case "stall":
		k.Stall(true)
	case "go":
		k.Stall(false)
	case "slow":
		d, err := time.ParseDuration(arg)
		if err != nil {
			return errOrder
		}
		k.Slow(d)
	case "reset":
		n, err := strconv.Atoi(arg)
		if err != nil {
			return errOrder
		}
		k.ResetAfter(n)
	default:
		return errOrder
	}
	return nil
}

func printSummary(out io.Writer, s collector.Summary, faults []string) {
	_, _ = fmt.Fprintf(out, "%d messages of %d streams, longest %d bytes; %d repeats, %d invalid, %d cut off, %d shortened, %d handshakes refused\n",
		s.Messages, s.Streams, s.Longest, s.Repeats, s.Invalid, s.CutOff, s.Shortened, s.Refused)
	_, _ = fmt.Fprintf(out, "%d numbers missing, %d told of in gap records; %d more without numbers\n", s.Missing, s.Told, s.Untold)
	table(out, "kind", s.Kinds)
	table(out, "class", s.Classes)
	table(out, "outcome", s.Outcomes)
	table(out, "dropped for", s.Drops)
	for _, f := range faults {
		_, _ = fmt.Fprintln(out, "broke a rule:", f)
	}
}

func table[N int | uint64](out io.Writer, title string, m map[string]N) {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		_, _ = fmt.Fprintf(out, "  %-12s %-14s %9d\n", title, n, m[n])
	}
}
