package experiment

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
)

// maxResultBytes limits the length of a line of a file of results.
const maxResultLineBytes = 1 << 20

// Run is the result of one seed of one design.
type RunResult struct {
	Design      string
	Fingerprint string // of the design
	Seed        uint64
	Metrics     map[Metric]float64
}

// storedRun is a Run as a line of a file of results. Besides the present names it has those of earlier versions, which
// are written until 0.2.0 and read for as long as such files exist.
type storedRun struct {
	Design      string `json:"Design"`
	Fingerprint string `json:"Fingerprint,omitempty"`
	// Deprecated: use Fingerprint; removed in 0.2.0.
	Mark    string             `json:"Mark,omitempty"`
	Seed    uint64             `json:"Seed"`
	Metrics map[Metric]float64 `json:"Measures"`
}

// newStoredRun returns the line of a run, with both names of what has two.
func newStoredRun(r *RunResult) storedRun {
	measures := maps.Clone(r.Metrics)
	if count, ok := measures[OverloadedNodes]; ok {
		measures[deprecatedOverloadedNodes] = count
	}
	return storedRun{Design: r.Design, Fingerprint: r.Fingerprint, Mark: r.Fingerprint, Seed: r.Seed, Metrics: measures}
}

// run returns the run of a line, with present names only.
func (s *storedRun) run() RunResult {
	measures := maps.Clone(s.Metrics)
	if count, ok := measures[deprecatedOverloadedNodes]; ok {
		delete(measures, deprecatedOverloadedNodes)
		if _, ok := measures[OverloadedNodes]; !ok {
			measures[OverloadedNodes] = count
		}
	}
	return RunResult{Design: s.Design, Fingerprint: cmp.Or(s.Fingerprint, s.Mark), Seed: s.Seed, Metrics: measures}
}

// runKey identifies a run among the stored ones.
type runKey struct {
	design, fingerprint string
	seed                uint64
}

func (r *RunResult) key() runKey { return runKey{r.Design, r.Fingerprint, r.Seed} }

// ResultsError is returned for a file of results that cannot be read or written.
type ResultsError struct {
	Path string
	Line int // counted from 1; zero means the whole file
	Err  error
}

func (e *ResultsError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("experiment: results: %v", e.Err)
	}
	return fmt.Sprintf("experiment: %s, line %d: %v", e.Path, e.Line, e.Err)
}

// Unwrap returns the cause.
func (e *ResultsError) Unwrap() error { return e.Err }

// readRuns reads a file of results. It returns no runs if the file does not exist. It removes an incomplete last line, of an
// experiment that was interrupted, from the file, so that the next result starts on a line of its own.
func readRuns(path string) ([]RunResult, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &ResultsError{Path: path, Err: err}
	}
	complete := bytes.LastIndexByte(text, '\n') + 1
	if complete < len(text) {
		if err := os.Truncate(path, int64(complete)); err != nil {
			return nil, &ResultsError{Path: path, Err: err}
		}
	}
	var runs []RunResult
	lines := bufio.NewScanner(bytes.NewReader(text[:complete]))
	lines.Buffer(nil, maxResultLineBytes)
	for number := 1; lines.Scan(); number++ {
		var stored storedRun
		if err := json.Unmarshal(lines.Bytes(), &stored); err != nil {
			return nil, &ResultsError{Path: path, Line: number, Err: err}
		}
		runs = append(runs, stored.run())
	}
	if err := lines.Err(); err != nil {
		return nil, &ResultsError{Path: path, Err: err}
	}
	return runs, nil
}

// writeRun appends a run to a file of results.
func writeRun(w io.Writer, r *RunResult) error {
	line, err := json.Marshal(newStoredRun(r))
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}
