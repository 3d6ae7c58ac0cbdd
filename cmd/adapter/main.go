// Command adapter connects routers of package decide to the simulator. It reads
// batches of events from standard input, in the simulator's protocol, passes them
// to the routers and writes the resulting actions to standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run handles batches until the input ends. An error names the input line.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	h := newHost()
	for n := 1; ; n++ {
		s, err := r.ReadString('\n')
		if err == io.EOF && s == "" {
			if h.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", n)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if l := len(s); s[l-1] == '\n' {
			s = s[:l-1]
		}
		done, err := h.handleLine(s)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if !done {
			continue
		}
		h.writeReply(w)
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}
