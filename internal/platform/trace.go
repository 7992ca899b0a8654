package platform

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/requests"
)

// traces tells whether each message is logged, so that one task can be followed through the schedulers it passed.
func (s *Scheduler) traces() bool { return s.opt.Log.GetLevel() <= zerolog.TraceLevel }

func (s *Scheduler) traceIn(all []requests.Input) {
	for _, in := range all {
		s.trace("in", in)
	}
}

func (s *Scheduler) traceOut(all []requests.Effect) {
	for _, e := range all {
		s.trace("out", e)
	}
}

func (s *Scheduler) trace(way string, m any) {
	name := strings.TrimPrefix(fmt.Sprintf("%T", m), "requests.")
	s.opt.Log.Trace().Str(way, name).Str("message", fmt.Sprintf("%+v", m)).Send()
}
