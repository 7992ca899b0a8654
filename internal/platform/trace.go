package platform

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"flaxshelf.example/flaxshelf/internal/requests"
)

// tracing reports whether each input and effect of the core is logged, which lets an operator follow a task through the
// schedulers that have handled it.
func (s *scheduler) tracing() bool { return s.options.Log.GetLevel() <= zerolog.TraceLevel }

func (s *scheduler) traceInputs(inputs []requests.Input) {
	if !s.tracing() {
		return
	}
	for _, input := range inputs {
		s.trace("in", input)
	}
}

func (s *scheduler) traceEffects(effects []requests.Effect) {
	if !s.tracing() {
		return
	}
	for _, effect := range effects {
		s.trace("out", effect)
	}
}

// trace logs an input or effect of package requests: the name of its type under the key direction, and its fields as the
// message.
func (s *scheduler) trace(direction string, value any) {
	name := strings.TrimPrefix(fmt.Sprintf("%T", value), "requests.")
	s.options.Log.Trace().Str(direction, name).Str("message", fmt.Sprintf("%+v", value)).Send()
}
