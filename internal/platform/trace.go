package platform

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/asks"
)

// traces tells whether each message is logged, so that one task can be followed through the schedulers it passed.
func (s *Scheduler) traces() bool { return s.opt.Log.GetLevel() <= zerolog.TraceLevel }

func (s *Scheduler) traceIn(all []asks.Input) {
	for _, in := range all {
		s.trace("in", in)
	}
}

func (s *Scheduler) traceOut(all []asks.Effect) {
	for _, e := range all {
		s.trace("out", e)
	}
}

func (s *Scheduler) trace(way string, m any) {
	name := strings.TrimPrefix(fmt.Sprintf("%T", m), "asks.")
	s.opt.Log.Trace().Str(way, name).Str("message", fmt.Sprintf("%+v", m)).Send()
}
