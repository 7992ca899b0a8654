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

// Stream is a sequence of submissions of one class; it is the #Stream record of the schema.
type Stream struct {
	Class              string              `json:"class"`
	Tenant             string              `json:"tenant"`
	Shape              Shape               `json:"shape"`
	Runtimes           RuntimeDistribution `json:"runtimes"`
	Services           int                 `json:"services"`           // number of services that the jobs are spread over
	HotServiceFraction float64             `json:"hotServiceFraction"` // extra fraction of jobs for the first service
	Cores              float64             `json:"cores"`              // requested cores; zero means the default of the class
	Memory             float64             `json:"memory"`             // requested GiB; zero means the default of the class
}

// Plan describes a load as a set of streams; it is the #Plan record of the schema.
type Plan struct {
	Description string   `json:"about"`
	Seconds     float64  `json:"seconds"` // duration of the load
	Streams     []Stream `json:"streams"`
}

// ParsePlan parses the text of a CUE file as a plan. It returns settings.ConfigErrors, which refer to the file by the given
// name, if the plan is invalid.
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
			file.AddErrorf(fmt.Sprintf("streams[%d].shape.every", i), "is %v, expected a period above 0 seconds",
				s.Shape.PeriodSeconds)
		}
	}
	return p, file.Err()
}

// maxJobsPerStream is the maximum number of jobs that a stream of a plan may generate.
const maxJobsPerStream = 10_000_000

// TooManyJobsError is returned by Plan.GenerateTrace for a stream that could have more than maxJobsPerStream jobs.
type TooManyJobsError struct {
	StreamIndex int
	MaxJobs     float64 // upper bound of the number of jobs: the highest rate for the whole duration
}

func (e *TooManyJobsError) Error() string {
	return fmt.Sprintf("load: the plan has too many jobs: streams[%d] may have %.0f, the limit is %d", e.StreamIndex, e.MaxJobs,
		maxJobsPerStream)
}

// Purposes of the random numbers of a stream. Each purpose has its own random source, so that a change of one distribution
// does not change the values drawn for the others.
const (
	randArrivals = 1 + iota
	randRuntimes
	randServices
)

// GenerateTrace draws the submissions of the plan. They depend only on the plan and the seed. It returns a *TooManyJobsError if
// a stream is too large.
func (p *Plan) GenerateTrace(seed uint64) (*Trace, error) {
	t := &Trace{Source: SourcePlan}
	for i := range p.Streams {
		s := &p.Streams[i]
		if jobs := s.Shape.maxRate() * p.Seconds; jobs > maxJobsPerStream {
			return nil, &TooManyJobsError{StreamIndex: i, MaxJobs: jobs}
		}
		newSource := func(purpose uint64) rand.Source { return rand.NewPCG(seed, uint64(i)<<8|purpose) }
		t.Jobs = append(t.Jobs, s.drawJobs(p.Seconds, newSource)...)
	}
	t.sort()
	return t, nil
}

// drawJobs draws the submissions of a stream from an inhomogeneous Poisson process by thinning: candidate arrivals are drawn
// at the highest rate, and each is kept with the probability rate(at)/maxRate.
func (s *Stream) drawJobs(lengthSeconds float64, newSource func(purpose uint64) rand.Source) []Job {
	arrivals, services := rand.New(newSource(randArrivals)), rand.New(newSource(randServices))
	drawRuntime := s.Runtimes.sampler(newSource(randRuntimes))
	maxRate := s.Shape.maxRate()
	var jobs []Job
	for at := arrivals.ExpFloat64() / maxRate; at < lengthSeconds; at += arrivals.ExpFloat64() / maxRate {
		if arrivals.Float64()*maxRate >= s.Shape.rate(at, lengthSeconds) {
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
			Runtime: drawRuntime(),
		})
	}
	return jobs
}
