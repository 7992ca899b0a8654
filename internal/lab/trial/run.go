// Package trial plays scripted days over real processes and sockets on loopback, and has the recording judged. It must
// not place anything itself.
package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/recordproxy"
	"flaxshelf.example/flaxshelf/internal/lab/rules"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/replay"
)

// Options are how a day is played.
type Options struct {
	Seed    uint64
	Record  string                           // file for the recording; empty: a temporary one
	Keep    string                           // folder for the schedulers' logs; empty: a temporary one
	Replay  bool                             // also record the modules' steps and check them
	Also    Module                           // with Replay: another module that must answer the same; may be nil
	Command func(args ...string) *exec.Cmd   // runs flaxshelf
	Note    func(format string, args ...any) // told of what happens; may be nil
}

// Module makes a module for a recording to be played to.
type Module func(c flaxshelf.Config, seed uint64) (replay.Module, error)

// Result is what a day has shown.
type Result struct {
	Verdict *rules.Verdict
	Tally   Tally
	Replays []string // one line for each life of a scheduler
	Failed  []string // what went wrong beside the rules
}

// OK tells whether all rules are kept, every submission is accounted for and nothing else went wrong.
func (r *Result) OK() bool { return r.Verdict.OK() && len(r.Failed) == 0 }

// String is the result in words.
func (r *Result) String() string {
	var b strings.Builder
	b.WriteString(r.Verdict.String())
	b.WriteString(r.Tally.String())
	for _, l := range r.Replays {
		fmt.Fprintln(&b, l)
	}
	for _, l := range r.Failed {
		fmt.Fprintln(&b, "failed:", l)
	}
	return b.String()
}

// Run plays a day. The error is of the trial itself; what it shows of the scheduler is in the result.
func Run(ctx context.Context, d *scenario.Day, opt Options) (*Result, error) {
	for _, l := range d.Load {
		if l.Retry > 0 {
			return nil, errors.New("trial: owners that ask again are played by the emulator only")
		}
	}
	if opt.Note == nil {
		opt.Note = func(string, ...any) {}
	}
	dir := opt.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "flaxshelf-trial-"); err != nil {
			return nil, fmt.Errorf("trial: %w", err)
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	record := opt.Record
	if record == "" {
		record = filepath.Join(dir, "recording")
	}
	figures, err := json.Marshal(d.Figures())
	if err != nil {
		return nil, fmt.Errorf("trial: figures: %w", err)
	}
	rec, err := recordproxy.Create(record, figures)
	if err != nil {
		return nil, err
	}
	res := &Result{}
	c, err := newCluster(ctx, d, opt, dir, rec)
	if err == nil {
		err = c.play(ctx, res)
	}
	if c != nil {
		if e := c.close(); e != nil {
			res.Failed = append(res.Failed, e.Error())
		}
	}
	if err := errors.Join(err, rec.Close()); err != nil {
		return nil, err
	}
	if opt.Replay {
		c.replay(res)
	}
	f, err := os.Open(record)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	defer f.Close()
	if res.Verdict, err = rules.Check(f); err != nil {
		return nil, err
	}
	if n := res.Tally.Open; n > 0 {
		res.Failed = append(res.Failed, fmt.Sprintf("%d submissions are not accounted for", n))
	}
	return res, nil
}

// play runs load and troubles until the day is over and all is accounted for.
func (c *cluster) play(ctx context.Context, res *Result) error {
	begin := time.Now()
	owners := newOwners(c, begin)
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := c.troubles(inner, begin, owners)
	owners.run(inner)
	err := wait()
	owners.settle(inner)
	cancel()
	owners.wait()
	res.Tally = owners.tally()
	return errors.Join(err, ctx.Err())
}

// replay plays what each module was given to a module by itself.
func (c *cluster) replay(res *Result) {
	for _, p := range c.schedulers {
		for _, path := range p.taps {
			line, err := checkTap(path, nil)
			if err == nil && c.opt.Also != nil {
				_, err = checkTap(path, c.opt.Also)
			}
			if err != nil {
				res.Failed = append(res.Failed, fmt.Sprintf("%s: %v", filepath.Base(path), err))
				continue
			}
			res.Replays = append(res.Replays, line)
		}
	}
}

func checkTap(path string, module Module) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	var r replay.Result
	if module == nil {
		r, err = replay.Check(f)
	} else {
		r, err = replay.CheckWith(f, module)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	return fmt.Sprintf("%s: the module alone answers the same: %d steps, %d events, %d actions", filepath.Base(path),
		r.Steps, r.Events, r.Actions), nil
}
