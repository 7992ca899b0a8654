package search

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flaxshelf.example/flaxshelf/internal/testbed/platformsim"
)

// Options has the options of Run.
type Options struct {
	FirstSeed uint64
	Days      int // number of days to play, with consecutive seeds
	Workers   int // days played at the same time; at least 1
	MaxFound  int // stop after so many days that violate a rule; 0: never
	Play      platformsim.Options
	// Progress, if not nil, is called after each day. It must be safe for concurrent use.
	Progress func(done int)
}

// Finding is a day that violates a rule.
type Finding struct {
	Seed      uint64                `json:"seed"` // from which the original day was drawn
	Violation platformsim.Violation `json:"violation"`
	Original  *platformsim.Day      `json:"original"`
	Day       *platformsim.Day      `json:"day"` // the smaller day that violates the same rule
}

// Report is the result of a search.
type Report struct {
	Days     int
	Requests int
	Placed   int
	Findings []Finding // in the order of their seeds
	Coverage platformsim.Coverage
	Elapsed  time.Duration
}

// PlayError reports a drawn day that could not be played.
type PlayError struct {
	Seed uint64
	Err  error
}

// Error implements error.
func (e *PlayError) Error() string { return fmt.Sprintf("search: day of seed %d: %v", e.Seed, e.Err) }

// Unwrap returns the cause.
func (e *PlayError) Unwrap() error { return e.Err }

// Run plays drawn days until all are played, enough violations are found or ctx is done. The report then has the days played so
// far. The error is a *PlayError if a day could not be played.
func Run(ctx context.Context, options Options) (*Report, error) {
	start := time.Now()
	report := &Report{Coverage: platformsim.Coverage{}}
	var mu sync.Mutex // guards report and firstErr
	var firstErr error
	var next, done atomic.Int64
	var workers sync.WaitGroup
	stopped := func() bool {
		mu.Lock()
		defer mu.Unlock()
		enough := options.MaxFound > 0 && len(report.Findings) >= options.MaxFound
		return enough || firstErr != nil || ctx.Err() != nil
	}
	for range max(options.Workers, 1) {
		workers.Go(func() {
			for !stopped() {
				number := next.Add(1) - 1
				if number >= int64(options.Days) {
					return
				}
				seed := options.FirstSeed + uint64(number)
				result, finding, err := playSeed(seed, options.Play)
				mu.Lock()
				report.add(result, finding)
				if err != nil && firstErr == nil {
					firstErr = &PlayError{seed, err}
				}
				mu.Unlock()
				if options.Progress != nil {
					options.Progress(int(done.Add(1)))
				}
			}
		})
	}
	workers.Wait()
	slices.SortFunc(report.Findings, func(a, b Finding) int { return cmp.Compare(a.Seed, b.Seed) })
	report.Elapsed = time.Since(start)
	return report, firstErr
}

// playSeed plays the day of a seed. If it violates a rule, it is made smaller.
func playSeed(seed uint64, options platformsim.Options) (*platformsim.Result, *Finding, error) {
	day := Draw(seed)
	result, err := platformsim.Play(day, options)
	if err != nil || len(result.Violations) == 0 {
		return result, nil, err
	}
	smaller, violation := Shrink(day, result.Violations[0], options)
	return result, &Finding{Seed: seed, Violation: violation, Original: day, Day: smaller}, nil
}

// add adds the result of a day, which is nil if the day could not be played.
func (r *Report) add(result *platformsim.Result, finding *Finding) {
	if result == nil {
		return
	}
	r.Days++
	r.Requests += result.Requests
	r.Placed += result.Placed
	r.Coverage.Add(result.Coverage)
	if finding != nil {
		r.Findings = append(r.Findings, *finding)
	}
}
