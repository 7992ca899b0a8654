package daemon

import (
	"sync"

	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/shard"
)

// scatterGather collects the answers of all cores to one request and replies with the merged answer. It is safe for
// concurrent use.
type scatterGather struct {
	request scheduler.Input
	reply   func(*scheduler.Answer)

	mu        sync.Mutex
	remaining int // missing answers
	answers   []scheduler.Answer
	canceled  bool
}

func newScatterGather(request scheduler.Input, cores int, reply func(*scheduler.Answer)) *scatterGather {
	return &scatterGather{request: request, reply: reply, remaining: cores, answers: make([]scheduler.Answer, cores)}
}

// collector returns the function that receives the answer of one core. It replies after the last answer.
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

// cancel discards the answers, for a request that was rejected after some cores had received it.
func (s *scatterGather) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled = true
}
