// Package experiment owns comparisons of designs over seeds: what is run, what is kept of it, and the statistics. It
// must not know how a cluster is emulated.
package experiment

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/lab/baseline"
	"flaxshelf.example/flaxshelf/internal/lab/emulator"
	"flaxshelf.example/flaxshelf/internal/lab/scenario"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

//go:embed schema.cue
var schema string

// Design is the record #Design.
type Design struct {
	Name       string  `json:"name"`
	Day        string  `json:"day"`
	Lose       string  `json:"lose"`
	Module     string  `json:"module"`
	Load       float64 `json:"load"`
	Schedulers int     `json:"schedulers"`
}

// Plan is the record #Experiment.
type Plan struct {
	About   string   `json:"about"`
	Seeds   int      `json:"seeds"`
	First   int      `json:"first"`
	Warm    float64  `json:"warm"`
	Designs []Design `json:"designs"`
	days    []*scenario.Day
	marks   []string // tell a design's runs from those of another text
}

// Parse reads an experiment and the days it names.
func Parse(name string, text []byte) (*Plan, error) {
	f, err := settings.Read(name, text, "#Experiment", schema)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := f.Decode(p); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i, d := range p.Designs {
		if seen[d.Name] {
			f.Fail(fmt.Sprintf("designs[%d].name", i), "%q names two designs", d.Name)
		}
		seen[d.Name] = true
		day, err := d.day()
		if err != nil {
			f.Fail(fmt.Sprintf("designs[%d].day", i), "%v", err)
			continue
		}
		if p.Warm >= day.Seconds {
			f.Fail("warm", "is %v, expected under the %v s of day %s", p.Warm, day.Seconds, d.Day)
		}
		text, err := json.Marshal([]any{day, p.Warm, d.Module})
		if err != nil {
			return nil, fmt.Errorf("experiment: %w", err)
		}
		p.days = append(p.days, day)
		p.marks = append(p.marks, fmt.Sprintf("%016x", xxhash.Sum64(text)))
	}
	return p, f.Err()
}

func (d *Design) day() (*scenario.Day, error) {
	day, err := scenario.Read(d.Day)
	if err != nil {
		return nil, err
	}
	for i := range day.Load {
		day.Load[i].PerSecond *= d.Load
	}
	if d.Schedulers > 0 {
		day.Schedulers = d.Schedulers
	}
	if d.Lose != "" {
		n := len(day.Fleet)
		day.Fleet = slices.DeleteFunc(day.Fleet, func(g scenario.Group) bool { return g.Zone == d.Lose })
		if len(day.Fleet) == n || len(day.Fleet) == 0 {
			return nil, fmt.Errorf("room %q: the fleet has no such room, or no other", d.Lose)
		}
	}
	return day, nil
}

// make makes the module of a design; nil stands for the vote.
func (d *Design) make() func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
	if d.Module == "vote" {
		return nil
	}
	return func(cfg flaxshelf.Config, seed uint64) (scheduler.Module, error) {
		return baseline.New(d.Module, cfg, seed)
	}
}

// Run is what one seed of one design has brought.
type Run struct {
	Design   string             `json:"Design"`
	Mark     string             `json:"Mark"`
	Seed     uint64             `json:"Seed"`
	Measures map[string]float64 `json:"Measures"`
}

// The measures. Waits are seconds from the intended submission to the first placement.
const (
	Placed = "placed" // share of submissions
	InTime = "in time"
	P50    = "wait p50"
	P99    = "wait p99"
	Fell   = "nodes fallen"
)

// Measures lists them in the order of a report.
var Measures = []string{Placed, InTime, P50, P99, Fell}

func measure(r *emulator.Report) map[string]float64 {
	m := map[string]float64{Fell: float64(r.FellOver)}
	var submitted, placed, inTime float64
	wait := slices.Clone(r.Classes)[0].Wait
	for i, c := range r.Classes {
		submitted += float64(c.Submitted)
		placed += float64(c.Placed)
		inTime += float64(c.InTime)
		if i > 0 {
			wait.Merge(c.Wait)
		}
	}
	if submitted > 0 {
		m[Placed], m[InTime] = placed/submitted, inTime/submitted
	}
	m[P50], m[P99] = float64(wait.ValueAtQuantile(50))/1e6, float64(wait.ValueAtQuantile(99))/1e6
	return m
}

// Execute runs what the file of results does not hold yet, several at a time, and appends each run when it is done:
// an experiment that was cut off goes on where it was. progress is told after each run.
func (p *Plan) Execute(ctx context.Context, results string, workers int, progress func(done, all int)) ([]Run,
	error) {
	runs, err := readRuns(results)
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(results, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("experiment: results: %w", err)
	}
	type todo struct {
		design int
		seed   uint64
	}
	var left []todo
	have := map[string]Run{}
	for _, r := range runs {
		have[fmt.Sprint(r.Design, r.Mark, r.Seed)] = r
	}
	var kept []Run
	all := p.Seeds * len(p.Designs)
	for s := range p.Seeds { // seed by seed, so that a run that is cut off has whole pairs
		for d := range p.Designs {
			seed := uint64(p.First + s)
			if r, ok := have[fmt.Sprint(p.Designs[d].Name, p.marks[d], seed)]; ok {
				kept = append(kept, r)
			} else {
				left = append(left, todo{d, seed})
			}
		}
	}
	var mu sync.Mutex
	var errs []error
	var wg sync.WaitGroup
	next := make(chan todo)
	for range max(workers, 1) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for t := range next {
				rep, err := emulator.Run(ctx, p.days[t.design], emulator.Options{Seed: t.seed, MeasureFrom: p.Warm,
					Make: p.Designs[t.design].make()})
				mu.Lock()
				if err != nil {
					errs = append(errs, fmt.Errorf("experiment: design %s, seed %d: %w",
						p.Designs[t.design].Name, t.seed, err))
				} else {
					r := Run{p.Designs[t.design].Name, p.marks[t.design], t.seed, measure(rep)}
					line, err := json.Marshal(r)
					if err == nil {
						_, err = out.Write(append(line, '\n'))
					}
					if err != nil {
						errs = append(errs, fmt.Errorf("experiment: results: %w", err))
					}
					kept = append(kept, r)
				}
				progress(len(kept), all)
				mu.Unlock()
			}
		}()
	}
	for _, t := range left {
		select {
		case next <- t:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	close(next)
	wg.Wait()
	if err := errors.Join(append(errs, ctx.Err(), out.Close())...); err != nil {
		return nil, err
	}
	slices.SortFunc(kept, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Design, b.Design),
			cmp.Compare(a.Seed, b.Seed))
	})
	return kept, nil
}

// readRuns reads the results; a last line that was cut off is passed over, and so is nothing else.
func readRuns(path string) ([]Run, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("experiment: results: %w", err)
	}
	whole := bytes.LastIndexByte(text, '\n') + 1
	if whole < len(text) { // what comes next must begin on a line of its own
		if err := os.Truncate(path, int64(whole)); err != nil {
			return nil, fmt.Errorf("experiment: results: %w", err)
		}
	}
	var runs []Run
	lines := bufio.NewScanner(bytes.NewReader(text[:whole]))
	lines.Buffer(nil, 1<<20)
	for n := 1; lines.Scan(); n++ {
		var r Run
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("experiment: %s, line %d: %w", path, n, err)
		}
		runs = append(runs, r)
	}
	return runs, lines.Err()
}

// Estimate is a mean with the half width of its 95% interval.
type Estimate struct{ Mean, Half float64 }

func (e Estimate) String() string { return fmt.Sprintf("%.4g ± %.2g", e.Mean, e.Half) }

// Differs tells whether the interval leaves zero out.
func (e Estimate) Differs() bool { return math.Abs(e.Mean) > e.Half }

// Mean estimates the mean of what x was drawn from, by Student's distribution.
func Mean(x []float64) Estimate {
	if len(x) < 2 {
		return Estimate{stat.Mean(x, nil), math.Inf(1)}
	}
	mean, sd := stat.MeanStdDev(x, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	return Estimate{mean, t * sd / math.Sqrt(float64(len(x)))}
}

// Row is one design's figures for one measure.
type Row struct {
	Design, Measure string
	Own             Estimate
	Against         Estimate // the difference to the first design, of pairs of one seed
	Better          float64  // share of the seeds on which it is higher than the first
	Values          []float64
}

// Table sets the designs side by side.
func (p *Plan) Table(runs []Run) []Row {
	values := map[string]map[uint64]float64{}
	for _, r := range runs {
		for m, v := range r.Measures {
			k := r.Design + "\x00" + m
			if values[k] == nil {
				values[k] = map[uint64]float64{}
			}
			values[k][r.Seed] = v
		}
	}
	var rows []Row
	for _, m := range Measures {
		for _, d := range p.Designs {
			row := Row{Design: d.Name, Measure: m}
			var diff []float64
			higher := 0
			for s := range p.Seeds {
				seed := uint64(p.First + s)
				v, ok := values[d.Name+"\x00"+m][seed]
				base, ok2 := values[p.Designs[0].Name+"\x00"+m][seed]
				if !ok || !ok2 {
					continue
				}
				row.Values = append(row.Values, v)
				diff = append(diff, v-base)
				if v > base {
					higher++
				}
			}
			if len(row.Values) == 0 {
				continue
			}
			row.Own, row.Against = Mean(row.Values), Mean(diff)
			row.Better = float64(higher) / float64(len(diff))
			rows = append(rows, row)
		}
	}
	return rows
}
