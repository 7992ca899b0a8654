package daemon

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
)

// scatterGather collects the answers of all cores to one request, and replies with the merged answer when it has all of them.
// It is safe for concurrent use.
type scatterGather struct {
	request scheduler.Input
	reply   func(*scheduler.Answer)

	mu        sync.Mutex
	remaining int                // number of missing answers
	answers   []scheduler.Answer // by index of the core
	canceled  bool
}

func newScatterGather(request scheduler.Input, cores int, reply func(*scheduler.Answer)) *scatterGather {
	return &scatterGather{request: request, reply: reply, remaining: cores, answers: make([]scheduler.Answer, cores)}
}

// collector returns the function that must be called with the answer of one core. The last call replies to the request.
func (s *scatterGather) collector(core int) func(*scheduler.Answer) {
	return func(answer *scheduler.Answer) {
		s.mu.Lock()
		s.answers[core] = *answer
		s.remaining--
		done := s.remaining == 0 && !s.canceled
		s.mu.Unlock()
		if done {
			merged := shard.Merge(s.request, s.answers)
			s.reply(&merged)
		}
	}
}

// cancel prevents the reply. It is for a request that is rejected after some cores have received it.
func (s *scatterGather) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled = true
}
