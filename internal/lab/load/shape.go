package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	_ "embed"

	"flaxshelf.example/flaxshelf/internal/settings"
)

//go:embed schema.cue
var schema string

// Shape is the record #Shape: submissions a second over time.
type Shape struct {
	Kind      string  `json:"kind"`
	PerSecond float64 `json:"perSecond"`
	Peak      float64 `json:"peak"`
	From      float64 `json:"from"`
	For       float64 `json:"for"`
	Every     float64 `json:"every"`
}

// rate is the submissions a second at a time.
func (s *Shape) rate(at, length float64) float64 {
	switch s.Kind {
	case "ramp":
		return s.PerSecond + (s.Peak-s.PerSecond)*at/length
	case "burst":
		x := at - s.From
		if s.Every > 0 && x >= 0 {
			x = math.Mod(x, s.Every)
		}
		if x >= 0 && x < s.For {
			return s.Peak
		}
		return s.PerSecond
	case "cold-snap":
		// It rises fast, stays for a while and falls slowly, as demand for heat does.
		x := (at - s.From) / max(s.For, 1e-9)
		switch {
		case x < 0 || x >= 1:
			return s.PerSecond
		case x < 0.2:
			return s.PerSecond + (s.Peak-s.PerSecond)*x/0.2
		case x < 0.5:
			return s.Peak
		}
		return s.PerSecond + (s.Peak-s.PerSecond)*math.Exp(-(x-0.5)*8)
	case "diurnal":
		return s.PerSecond + (s.Peak-s.PerSecond)*(1-math.Cos(2*math.Pi*(at-s.From)/max(s.Every, 1e-9)))/2
	}
	return s.PerSecond
}

func (s *Shape) most() float64 { return max(s.PerSecond, s.Peak) }

// Lives is the record #Lives: the law of how long jobs run.
type Lives struct {
	Law   string            `json:"law"`
	Mean  settings.Duration `json:"mean"`
	Tail  float64           `json:"tail"`
	Least settings.Duration `json:"least"`
}

func (l *Lives) draw(src rand.Source) func() time.Duration {
	mean := l.Mean.Duration().Seconds()
	var next func() float64
	switch l.Law {
	case "exponential":
		next = distuv.Exponential{Rate: 1 / mean, Src: src}.Rand
	case "lognormal":
		// Tail is the standard deviation of the logarithm; the mean stays.
		next = distuv.LogNormal{Mu: math.Log(mean) - l.Tail*l.Tail/2, Sigma: l.Tail, Src: src}.Rand
	case "pareto":
		// Tail is the exponent, above 1; the mean stays.
		next = distuv.Pareto{Xm: mean * (l.Tail - 1) / l.Tail, Alpha: l.Tail, Src: src}.Rand
	default:
		next = func() float64 { return mean }
	}
	return func() time.Duration {
		return max(time.Duration(min(next(), 1e6)*float64(time.Second)), l.Least.Duration())
	}
}

// Stream is the record #Stream.
type Stream struct {
	Class    string  `json:"class"`
	Tenant   string  `json:"tenant"`
	Shape    Shape   `json:"shape"`
	Lives    Lives   `json:"lives"`
	Services int     `json:"services"`
	Popular  float64 `json:"popular"`
	Cores    float64 `json:"cores"`
	Memory   float64 `json:"memory"`
}

// Plan is the record #Plan: a load made of streams.
type Plan struct {
	About   string   `json:"about"`
	Seconds float64  `json:"seconds"`
	Streams []Stream `json:"streams"`
}

// ParsePlan reads a plan.
func ParsePlan(name string, text []byte) (*Plan, error) {
	f, err := settings.Read(name, text, "#Plan", schema)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	if err := f.Decode(p); err != nil {
		return nil, err
	}
	for i, s := range p.Streams {
		if s.Lives.Law == "pareto" && s.Lives.Tail <= 1 {
			f.Fail(fmt.Sprintf("streams[%d].lives.tail", i),
				"is %v, expected above 1: the mean would be infinite", s.Lives.Tail)
		}
		if s.Shape.Kind == "diurnal" && s.Shape.Every <= 0 {
			f.Fail(fmt.Sprintf("streams[%d].shape.every", i), "is %v, expected the length of a day above 0",
				s.Shape.Every)
		}
	}
	return p, f.Err()
}

// mostJobs bounds the jobs of a plan.
const mostJobs = 10_000_000

// Jobs draws the plan's submissions. Arrivals, lives and services of a stream have sources of their own: a change of
// one leaves the others as they were.
func (p *Plan) Jobs(seed uint64) (*Trace, error) {
	t := &Trace{Source: "plan"}
	for i := range p.Streams {
		s := &p.Streams[i]
		source := func(purpose uint64) rand.Source { return rand.NewPCG(seed, uint64(i)<<8|purpose) }
		arrivals, services := rand.New(source(1)), rand.New(source(3))
		life := s.Lives.draw(source(2))
		most := s.Shape.most()
		if most*p.Seconds > mostJobs {
			return nil, errors.New("load: the plan has too many jobs")
		}
		// Thinning: candidates at the highest rate, kept in proportion to the rate of their time.
		for at := arrivals.ExpFloat64() / most; at < p.Seconds; at += arrivals.ExpFloat64() / most {
			if arrivals.Float64()*most >= s.Shape.rate(at, p.Seconds) {
				continue
			}
			service := services.IntN(max(s.Services, 1))
			if services.Float64() < s.Popular {
				service = 0
			}
			t.Jobs = append(t.Jobs, Job{At: time.Duration(at * float64(time.Second)), Class: s.Class,
				Tenant:  s.Tenant,
				Service: fmt.Sprintf("%s-%d", s.Class, service), Cores: s.Cores, Memory: s.Memory, Life: life()})
		}
	}
	t.sort()
	return t, nil
}
