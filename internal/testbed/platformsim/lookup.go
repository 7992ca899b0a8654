package platformsim

import (
	"cmp"
	"maps"
	"slices"
)

// nodeAt returns the node with an address whose process may listen there, or nil.
func (s *simulation) nodeAt(addr string) *node {
	for _, n := range s.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

// runOf returns where the task of a request runs, or nil.
func (s *simulation) runOf(req *request) *run {
	for _, n := range s.nodes {
		if r := n.tasks[req.id]; r != nil {
			return r
		}
	}
	return nil
}

// lastRunOf returns where the task of a request runs or ran last, or nil.
func (s *simulation) lastRunOf(req *request) *run { return s.judge.lastRun[req.id] }

func sortedRuns(tasks map[uint64]*run) []*run {
	return slices.SortedFunc(maps.Values(tasks), func(a, b *run) int { return cmp.Compare(a.id, b.id) })
}

func sortedRequests(all map[uint64]*request) []*request {
	return slices.SortedFunc(maps.Values(all), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// sortedConns returns connections in the order of their IDs.
func sortedConns[K cmp.Ordered](all map[K]*conn) []*conn {
	var conns []*conn
	for _, id := range slices.Sorted(maps.Keys(all)) {
		conns = append(conns, all[id])
	}
	return conns
}
