package platformfront

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodeparam"
	"flaxshelf.example/flaxshelf/internal/requests"
)

var reasons = map[string]flaxshelf.Reason{
	"cpu_full": flaxshelf.InsufficientCores, "mem_full": flaxshelf.InsufficientMemory, "busy": flaxshelf.QueueFull,
	"wrong_host": flaxshelf.UnsupportedTask, "oom": flaxshelf.Evicted, "preempted": flaxshelf.Preempted,
	"drained": flaxshelf.DrainedAway,
}

var kinds = map[string]flaxshelf.UsageKind{
	"up": flaxshelf.TaskRunning, "cpu": flaxshelf.CoresUsed, "mem": flaxshelf.MemoryUsed, "share": flaxshelf.ServiceLevel,
	"tight": flaxshelf.MemoryPressure,
}

// DecodeNodeMessage turns a node's message into an input; nil for one that means nothing. An error says that the link can't be
// trusted: a node's answer always has a description, its release a cause.
func DecodeNodeMessage(link requests.Link, m *nodeparam.Message) (requests.Input, error) {
	in := requests.NodeMessage{Link: link, Task: taskID(m.Task), Cause: m.Cause, Reason: reasons[m.Token]}
	switch m.Type {
	case nodeparam.Answer:
		if !m.Described || m.Description == "" {
			return nil, fmt.Errorf("%w: an answer without a description", nodeparam.ErrMalformed)
		}
		in.Kind, in.Description = requests.NodeAccepted, m.Description
	case nodeparam.Release:
		if m.Cause < 0 {
			return nil, fmt.Errorf("%w: a release without a cause", nodeparam.ErrMalformed)
		}
		in.Kind = requests.NodeReleased
	case nodeparam.Released:
		in.Kind = requests.NodeConfirmedRelease
	case nodeparam.Note:
		kind, ok := kinds[m.Token]
		x, err := strconv.ParseFloat(m.Value, 64)
		if !ok || err != nil && m.Value != "" || math.IsNaN(x) || math.IsInf(x, 0) {
			return nil, nil
		}
		in.Kind, in.UsageKind, in.Amount = requests.NodeUsage, kind, x
	default:
		return nil, nil
	}
	return in, nil
}

// EncodeOffer encodes a set-up for a node.
func EncodeOffer(dst []byte, e *requests.Offer) ([]byte, error) {
	id, err := strconv.ParseUint(e.Task, 16, 64)
	if err != nil {
		return dst, fmt.Errorf("task %q: %w", e.Task, err)
	}
	left := max(1, int64(e.TimeLeft/time.Millisecond))
	return nodeparam.Append(dst, &nodeparam.Message{Type: nodeparam.SetUp, Task: id, Cause: -1, Class: e.Class,
		TimeLeft: strconv.FormatInt(left, 10), Key: e.Key, IdempotencyKey: e.IdempotencyKey,
		Description: e.Description, Described: true})
}

// EncodeRelease encodes a release for a node.
func EncodeRelease(dst []byte, e *requests.SendRelease) ([]byte, error) {
	id, err := strconv.ParseUint(e.Task, 16, 64)
	if err != nil {
		return dst, fmt.Errorf("task %q: %w", e.Task, err)
	}
	return nodeparam.Append(dst, &nodeparam.Message{Type: nodeparam.Release, Task: id, Cause: e.Cause})
}

func taskID(n uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := 15; i >= 0; i-- {
		b[i] = digits[n&15]
		n >>= 4
	}
	return string(b[:])
}
