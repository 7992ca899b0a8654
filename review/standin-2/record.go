package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since its start.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
	stamp func() string // what a line begins with; nil: the time since the start
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stamp != nil {
		defer func() { _ = r.out.Flush() }()
		fmt.Fprint(r.out, r.stamp(), " ")
	} else {
		fmt.Fprintf(r.out, "%9.3f ", time.Since(r.start).Seconds())
	}
	fmt.Fprintf(r.out, format, args...)
	_ = r.out.WriteByte('\n')
}

// say records a line and prints it.
func (r *recorder) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
