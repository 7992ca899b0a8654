package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
)

// printer writes text to an output. It keeps the first write error and writes nothing after it, so that commands need not
// check each write: run checks Err once, at the end. It is safe for concurrent use.
type printer struct {
	mu  sync.Mutex
	out io.Writer
	err error
}

func newPrinter(out io.Writer) *printer { return &printer{out: out} }

// Write implements io.Writer. After a failed write it returns the error of that write.
func (p *printer) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return 0, p.err
	}
	n, err := p.out.Write(text)
	p.err = err
	return n, err
}

// Err returns the error of the first failed write, or nil.
func (p *printer) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

func (p *printer) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p, format, args...) // Err returns the error
}

func (p *printer) println(args ...any) {
	_, _ = fmt.Fprintln(p, args...) // Err returns the error
}

func (p *printer) print(args ...any) {
	_, _ = fmt.Fprint(p, args...) // Err returns the error
}

// table writes rows of cells in aligned columns. The first row is the header.
func (p *printer) table(rows [][]string) {
	const (
		tabWidth = 8
		padding  = 2
	)
	aligned := tabwriter.NewWriter(p, 0, tabWidth, padding, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(aligned, strings.Join(row, "\t")) // Err returns the error
	}
	_ = aligned.Flush() // Err returns the error
}
