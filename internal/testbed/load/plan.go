package load

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"time"

	"flaxshelf.example/flaxshelf/internal/settings"
)

//go:embed schema.cue
var schema string

// Stream is submissions of one class, the record #Stream of the schema.
type Stream struct {
	Class              string              `json:"class"`
	Tenant             string              `json:"tenant"`
	Shape              Shape               `json:"shape"`
	Runtimes           RuntimeDistribution `json:"runtimes"`
	Services           int                 `json:"services"`           // over which the submissions are distributed
	HotServiceFraction float64             `json:"hotServiceFraction"` // fraction for the first service
	Cores              float64             `json:"cores"`              // requested; zero means the default of the class
	Memory             float64             `json:"memory"`             // requested, in GiB; zero means the default of the class
}

// Plan is a load that consists of streams, the record #Plan of the schema.
type Plan struct {
	Description string   `json:"about"`
	Seconds     float64  `json:"seconds"` // length
	Streams     []Stream `json:"streams"`
}

// ParsePlan reads a plan from the text of a CUE file. It returns settings.Problems if the plan is not valid; name is the
// file's name in them.
func ParsePlan(name string, text []byte) (*Plan, error) {
	file, err := settings.Parse(name, text, "#Plan", schema)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := file.Decode(p); err != nil {
		return nil, err
	}
	for i, s := range p.Streams {
		if s.Runtimes.Family == familyPareto && s.Runtimes.TailParameter <= 1 {
			file.AddErrorf(fmt.Sprintf("streams[%d].runtimes.tail", i),
				"is %v, expected above 1: the mean would be infinite", s.Runtimes.TailParameter)
		}
		if s.Shape.Kind == shapeDiurnal && s.Shape.PeriodSeconds <= 0 {
			file.AddErrorf(fmt.Sprintf("streams[%d].shape.every", i), "is %v, expected the length of a day above 0",
				s.Shape.PeriodSeconds)
		}
	}
	return p, file.Err()
}

// maxJobs bounds the jobs of a stream.
const maxJobsPerStream = 10_000_000

// TooManyJobsError is returned by Plan.Jobs for a stream that could exceed the limit of jobs.
type TooManyJobsError struct {
	StreamIndex int
	MaxJobs     float64 // maximum number of its jobs
}

func (e *TooManyJobsError) Error() string {
	return fmt.Sprintf("load: the plan has too many jobs: streams[%d] may have %.0f, the limit is %d", e.StreamIndex, e.MaxJobs, maxJobsPerStream)
}

// The purposes of random numbers of a stream. Each has its own source, so that a change of one distribution does not change
// what is drawn from the others.
const (
	randArrivals = 1 + iota
	randRuntimes
	randServices
)

// Jobs draws the submissions of the plan. They depend on the plan and the seed only.
func (p *Plan) GenerateTrace(seed uint64) (*Trace, error) {
	t := &Trace{Source: SourcePlan}
	for i := range p.Streams {
		s := &p.Streams[i]
		if jobs := s.Shape.maxRate() * p.Seconds; jobs > maxJobsPerStream {
			return nil, &TooManyJobsError{StreamIndex: i, MaxJobs: jobs}
		}
		source := func(purpose uint64) rand.Source { return rand.NewPCG(seed, uint64(i)<<8|purpose) }
		t.Jobs = append(t.Jobs, s.drawJobs(p.Seconds, source)...)
	}
	t.sort()
	return t, nil
}

// jobs draws the submissions of a stream by thinning: candidates arrive at the highest rate, and each is retained with a
// probability of the rate at its time divided by the highest rate.
func (s *Stream) drawJobs(length float64, source func(purpose uint64) rand.Source) []Job {
	arrivals, services := rand.New(source(randArrivals)), rand.New(source(randServices))
	runtime := s.Runtimes.sampler(source(randRuntimes))
	maxRate := s.Shape.maxRate()
	var jobs []Job
	for at := arrivals.ExpFloat64() / maxRate; at < length; at += arrivals.ExpFloat64() / maxRate {
		if arrivals.Float64()*maxRate >= s.Shape.rate(at, length) {
			continue
		}
		service := services.IntN(max(s.Services, 1))
		if services.Float64() < s.HotServiceFraction {
			service = 0
		}
		jobs = append(jobs, Job{
			At:      time.Duration(at * float64(time.Second)),
			Class:   s.Class,
			Tenant:  s.Tenant,
			Service: fmt.Sprintf("%s-%d", s.Class, service),
			Cores:   s.Cores,
			Memory:  s.Memory,
			Runtime: runtime(),
		})
	}
	return jobs
}
