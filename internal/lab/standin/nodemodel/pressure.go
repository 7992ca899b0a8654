package nodemodel

import (
	"slices"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// The kinds of note, as NoteKind of the module has them.
const (
	noteCores = iota + 2
	noteMemory
	noteServed
	noteShort
)

const (
	servedBelow = 0.95 // notes of service are sent below this share
	shortAbove  = 0.85 // notes of memory are sent above this share in use
)

func (n *Node) used(t *task) (cores, memory float64) {
	f := n.faults.swell(t.spec.Class)
	// A task never uses more than its caps: twice what it asked.
	return t.spec.Cores * min(t.useCores*f, 2), t.spec.Memory * min(t.useMemory*f, 2)
}

// Use is what the running tasks use, and the share of the machine that another program has taken.
func (n *Node) Use() (cores, memory float64) {
	for _, t := range n.order {
		if t.running {
			c, m := n.used(t)
			cores += c
			memory += m
		}
	}
	return cores, memory
}

// pressure evicts while memory is short and tells each task's scheduler how it fares.
func (n *Node) pressure() {
	for _, t := range n.order { // use drifts, as a walk within what was drawn at first
		t.useCores *= 0.95 + 0.1*n.rng.Float64()
		t.useMemory *= 0.97 + 0.06*n.rng.Float64()
	}
	room := n.cfg.Memory * (1 - n.faults.crowd)
	for {
		_, memory := n.Use()
		if memory <= room {
			break
		}
		victims := slices.DeleteFunc(slices.Clone(n.order), func(t *task) bool { return !t.running })
		slices.SortFunc(victims, byPriority)
		n.end(victims[0], nodepb.Ending_LOST, nodepb.Reason_EVICTED)
	}
	cores, memory := n.Use()
	served := 1.0
	if have := n.cfg.Cores * (1 - n.faults.crowd); cores > have {
		served = have / cores
	}
	short := 1.0
	if room > 0 {
		short = memory / room
	}
	for _, t := range n.order {
		if !t.running {
			continue
		}
		c, m := n.used(t)
		n.note(t, noteCores, c)
		n.note(t, noteMemory, m)
		if served < servedBelow {
			n.note(t, noteServed, served)
		}
		if short > shortAbove {
			n.note(t, noteShort, short)
		}
	}
}

func (n *Node) note(t *task, kind int32, amount float64) {
	n.send(t.from, &nodepb.Frame{Body: &nodepb.Frame_Note{Note: &nodepb.Note{Attempt: t.attempt, Kind: kind,
		Amount: amount}}})
}
