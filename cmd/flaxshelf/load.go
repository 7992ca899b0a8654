package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf/internal/lab/load"
)

type loadCmd struct {
	Run     loadRun     `cmd:"" help:"Send a load to a scheduler, open-loop; latency counts from the intended times."`
	Capture loadCapture `cmd:"" help:"Listen to a scheduler and keep the load as a trace."`
	Import  loadImport  `cmd:"" help:"Make a trace of a log in the Standard Workload Format."`
	Show    loadShow    `cmd:"" help:"Check a trace and tell what is in it."`
}

// readLoad reads a plan (.cue) or a trace.
func readLoad(path string, seed uint64) (*load.Trace, error) {
	if strings.HasSuffix(path, ".cue") {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		p, err := load.ParsePlan(path, text)
		if err != nil {
			return nil, err
		}
		return p.Jobs(seed)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t, err := load.Read(f)
	if err != nil {
		return nil, errUsage{fmt.Errorf("%s: %w", path, err)}
	}
	return t, nil
}

type loadRun struct {
	server
	File    string        `arg:"" type:"existingfile" help:"A plan (.cue, as #Plan of the schema) or a trace."`
	Seed    uint64        `default:"1" help:"What a plan draws, is drawn from this."`
	Speed   float64       `default:"1" help:"Send so many times as fast."`
	Session string        `default:"load" help:"Job session."`
	Wait    time.Duration `default:"30s" help:"For open outcomes, after the last submission."`
}

// Run sends the load.
func (c *loadRun) Run(e *env) error {
	if c.Speed <= 0 {
		return errUsage{errors.New("--speed must be above 0")}
	}
	t, err := readLoad(c.File, c.Seed)
	if err != nil {
		return err
	}
	k := c.client()
	defer k.Close()
	res, err := load.Send(e.ctx, k, t, load.Options{Session: c.Session, Speed: c.Speed, Wait: c.Wait,
		Prefix: fmt.Sprintf("load-%x", time.Now().UnixNano())})
	if res != nil {
		fmt.Fprint(e.out, res)
	}
	return err
}

type loadCapture struct {
	server
	For time.Duration `default:"1m" help:"Listen for so long, or until interrupted."`
	Out string        `required:"" placeholder:"FILE" help:"The trace."`
	Key string        `env:"FLAXSHELF_TRACE_KEY" help:"Replace names of services and tenants by hashes under this key."`
}

// Run captures.
func (c *loadCapture) Run(e *env) error {
	k := c.client()
	defer k.Close()
	t, err := load.Capture(e.ctx, k, c.For)
	if err != nil {
		return err
	}
	return keepTrace(e, t, c.Out, c.Key)
}

func keepTrace(e *env, t *load.Trace, path, key string) error {
	if key != "" {
		if err := t.Anonymise(key); err != nil {
			return err
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(t.Write(f), f.Close()); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s: %d jobs in %v\n", path, len(t.Jobs), t.Length().Round(time.Millisecond))
	return nil
}

type loadImport struct {
	File  string `arg:"" type:"existingfile" help:"The log."`
	Class string `required:"" help:"The class that its jobs become."`
	Out   string `required:"" placeholder:"FILE" help:"The trace."`
	Key   string `env:"FLAXSHELF_TRACE_KEY" help:"Replace names by hashes under this key."`
}

// Run imports.
func (c *loadImport) Run(e *env) error {
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer f.Close()
	t, left, err := load.ReadSWF(f, c.Class)
	if err != nil {
		return errUsage{fmt.Errorf("%s: %w", c.File, err)}
	}
	if left > 0 {
		fmt.Fprintf(e.err, "%d jobs without a submission time or processors were left out\n", left)
	}
	return keepTrace(e, t, c.Out, c.Key)
}

type loadShow struct {
	File string `arg:"" type:"existingfile" help:"A plan (.cue) or a trace."`
	Seed uint64 `default:"1" help:"What a plan draws, is drawn from this."`
}

// Run shows.
func (c *loadShow) Run(e *env) error {
	t, err := readLoad(c.File, c.Seed)
	if err != nil {
		return err
	}
	classes, cut := map[string]int{}, 0
	var life time.Duration
	for _, j := range t.Jobs {
		classes[j.Class]++
		life += j.Life
		if j.CutOff {
			cut++
		}
	}
	fmt.Fprintf(e.out, "from %s, anonymous %v: %d jobs in %v, %d gaps, %d lives cut off\n", t.Source,
		t.Anonymous, len(t.Jobs),
		t.Length().Round(time.Millisecond), len(t.Gaps), cut)
	if n := len(t.Jobs); n > 0 {
		fmt.Fprintf(e.out, "%.2f a second, mean life %v, classes %v\n", float64(n)/max(t.Length().Seconds(), 1e-9),
			(life / time.Duration(n)).Round(time.Millisecond), classes)
	}
	return nil
}
