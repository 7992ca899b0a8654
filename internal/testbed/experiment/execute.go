package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"

	"flaxshelf.example/flaxshelf/internal/testbed/emulator"
)

// resultsFileMode is the permission mode of a new results file.
const resultsFileMode = 0o644

// Execute executes the runs of the experiment that are missing in the results file, with the given number of workers. It appends
// each result to the file as soon as the run completes, so that an interrupted experiment can be resumed. It returns the results
// of all runs of the experiment, ordered by design and seed.
//
// Execute calls progress after each run with the number of completed runs and the total number of runs, and never concurrently.
// If a run fails, the others are still executed, and Execute returns the joined errors.
func (p *Plan) Execute(ctx context.Context, resultsPath string, workers int, progress func(done, all int)) ([]RunResult, error) {
	stored, err := readRuns(resultsPath)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(resultsPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, resultsFileMode)
	if err != nil {
		return nil, &ResultsError{Path: resultsPath, Err: err}
	}
	done, missing := p.partitionRuns(stored)
	e := &execution{plan: p, file: file, path: resultsPath, progress: progress, runs: done}
	e.executeAll(ctx, missing, max(workers, 1))
	if err := errors.Join(append(e.errs, ctx.Err(), file.Close())...); err != nil {
		return nil, err
	}
	slices.SortFunc(e.runs, func(a, b RunResult) int {
		return cmp.Or(cmp.Compare(a.Design, b.Design), cmp.Compare(a.Seed, b.Seed))
	})
	return e.runs, nil
}

// pendingRun is a run without a stored result.
type pendingRun struct {
	design int // index in Plan.Designs
	seed   uint64
}

// partitionRuns returns the stored results that belong to this experiment, and the runs without one. The missing runs are ordered
// by seed, so that an interrupted experiment has results of all designs for most seeds, as the paired comparison requires.
func (p *Plan) partitionRuns(stored []RunResult) (done []RunResult, missing []pendingRun) {
	byKey := map[runKey]RunResult{}
	for _, r := range stored {
		byKey[r.key()] = r
	}
	for i := range p.SeedCount {
		seed := uint64(p.FirstSeed + i)
		for d := range p.Designs {
			if r, ok := byKey[runKey{p.Designs[d].Name, p.fingerprints[d], seed}]; ok {
				done = append(done, r)
			} else {
				missing = append(missing, pendingRun{d, seed})
			}
		}
	}
	return done, missing
}

// execution is the state of one call of Execute.
type execution struct {
	plan     *Plan
	file     *os.File
	path     string
	progress func(done, all int)

	mu   sync.Mutex // guards the fields below, writes to file, and calls of progress
	runs []RunResult
	errs []error
}

// executeAll executes the runs with the given number of workers and waits for them. It starts no run after the context has
// ended.
func (e *execution) executeAll(ctx context.Context, runs []pendingRun, workers int) {
	queue := make(chan pendingRun)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for r := range queue {
				e.executeRun(ctx, r)
			}
		})
	}
	for _, r := range runs {
		select {
		case queue <- r:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	close(queue)
	wg.Wait()
}

// executeRun executes a run and appends its result to the results file.
func (e *execution) executeRun(ctx context.Context, r pendingRun) {
	design := &e.plan.Designs[r.design]
	report, err := emulator.Run(ctx, e.plan.days[r.design], emulator.Options{Seed: r.seed,
		MeasureFrom: e.plan.WarmUpSeconds, NewModule: design.moduleFactory()})
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.errs = append(e.errs, fmt.Errorf("experiment: emulate design %s with seed %d: %w", design.Name, r.seed, err))
	} else {
		run := RunResult{Design: design.Name, Fingerprint: e.plan.fingerprints[r.design], Seed: r.seed,
			Metrics: metricsOf(report)}
		if err := writeRun(e.file, &run); err != nil {
			e.errs = append(e.errs, &ResultsError{Path: e.path, Err: err})
		}
		e.runs = append(e.runs, run)
	}
	e.progress(len(e.runs), e.plan.SeedCount*len(e.plan.Designs))
}
