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

// maxResultLineBytes is the maximum length of a line in a results file.
const maxResultLineBytes = 1 << 20

// RunResult is the result of emulating one design with one seed.
type RunResult struct {
	Design      string
	Fingerprint string // fingerprint of the design when it was run
	Seed        uint64
	Metrics     map[Metric]float64
}

// storedRun is the JSON form of a RunResult, one line of a results file. Besides the current names it has those of earlier
// versions, which are written until 0.2.0 and read for as long as such files exist.
type storedRun struct {
	Design      string `json:"Design"`
	Fingerprint string `json:"Fingerprint,omitempty"`
	// Deprecated: use Fingerprint; removed in 0.2.0.
	Mark    string             `json:"Mark,omitempty"`
	Seed    uint64             `json:"Seed"`
	Metrics map[Metric]float64 `json:"Measures"`
}

// newStoredRun returns the stored form of a result. Renamed fields and metrics are set under their current and deprecated names.
func newStoredRun(r *RunResult) storedRun {
	measures := maps.Clone(r.Metrics)
	if count, ok := measures[OverloadedNodes]; ok {
		measures[deprecatedOverloadedNodes] = count
	}
	return storedRun{Design: r.Design, Fingerprint: r.Fingerprint, Mark: r.Fingerprint, Seed: r.Seed, Metrics: measures}
}

// toRunResult returns the result with the current names only.
func (s *storedRun) toRunResult() RunResult {
	measures := maps.Clone(s.Metrics)
	if count, ok := measures[deprecatedOverloadedNodes]; ok {
		delete(measures, deprecatedOverloadedNodes)
		if _, ok := measures[OverloadedNodes]; !ok {
			measures[OverloadedNodes] = count
		}
	}
	return RunResult{Design: s.Design, Fingerprint: cmp.Or(s.Fingerprint, s.Mark), Seed: s.Seed, Metrics: measures}
}

// runKey identifies a run among the stored results.
type runKey struct {
	design, fingerprint string
	seed                uint64
}

func (r *RunResult) key() runKey { return runKey{r.Design, r.Fingerprint, r.Seed} }

// ResultsError is returned for a results file that cannot be read or written.
type ResultsError struct {
	Path string
	Line int // counted from 1; zero if the error is not in a particular line
	Err  error
}

func (e *ResultsError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("experiment: results file %s: %v", e.Path, e.Err)
	}
	return fmt.Sprintf("experiment: results file %s, line %d: %v", e.Path, e.Line, e.Err)
}

// Unwrap returns the underlying error.
func (e *ResultsError) Unwrap() error { return e.Err }

// readRuns reads a results file. It returns no results if the file does not exist. If an interrupted experiment left an
// incomplete last line, readRuns removes it from the file, so that the next result starts on its own line.
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
		runs = append(runs, stored.toRunResult())
	}
	if err := lines.Err(); err != nil {
		return nil, &ResultsError{Path: path, Err: err}
	}
	return runs, nil
}

// writeRun writes a result as one line.
func writeRun(w io.Writer, r *RunResult) error {
	line, err := json.Marshal(newStoredRun(r))
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}
