package daemon

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
)

// scatterGather collects the answers of all cores to one request and replies with them merged. Several goroutines may
// use it at once.
type scatterGather struct {
	request scheduler.Input
	reply   func(*scheduler.Answer)

	mu        sync.Mutex
	remaining int // answers still to come
	answers   []scheduler.Answer
	canceled  bool
}

func newScatterGather(request scheduler.Input, cores int, reply func(*scheduler.Answer)) *scatterGather {
	return &scatterGather{request: request, reply: reply, remaining: cores, answers: make([]scheduler.Answer, cores)}
}

// collector returns the function that takes the answer of one core. The last of them replies.
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

// cancel discards the answers: the request was rejected after some cores had been given it.
func (s *scatterGather) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled = true
}
