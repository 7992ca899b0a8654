package platformfront

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// releaseReasons are the reasons of a node's release by their tokens on the wire.
var releaseReasons = map[string]flaxshelf.Reason{
	"cpu_full": flaxshelf.InsufficientCores, "mem_full": flaxshelf.InsufficientMemory, "busy": flaxshelf.QueueFull,
	"wrong_host": flaxshelf.UnsupportedTask, "oom": flaxshelf.Evicted, "preempted": flaxshelf.Preempted,
	"drained": flaxshelf.DrainedAway,
}

// usageKinds are the quantities of a node's usage reports by their tokens on the wire.
var usageKinds = map[string]flaxshelf.UsageKind{
	"up": flaxshelf.TaskRunning, "cpu": flaxshelf.CoresUsed, "mem": flaxshelf.MemoryUsed, "share": flaxshelf.ServiceLevel,
	"tight": flaxshelf.MemoryPressure,
}

// DecodeNodeMessage translates a message of a node into an input. It returns nil for a message that the core doesn't need. The
// error is a *nodebinary.ProtocolError, for an answer without a description or a release without a cause.
func DecodeNodeMessage(link requests.LinkID, m *nodebinary.Message) (requests.Input, error) {
	input := requests.NodeMessage{
		Link:   link,
		Task:   formatTaskID(m.Task),
		Cause:  requests.Cause(m.Cause),
		Reason: releaseReasons[m.Token],
	}
	switch m.Type {
	case nodebinary.Answer:
		if !m.HasDescription || m.Description == "" {
			return nil, missingParameter(m, "description")
		}
		input.Kind, input.Description = requests.NodeAccepted, m.Description
	case nodebinary.Release:
		if m.Cause < 0 {
			return nil, missingParameter(m, "cause")
		}
		input.Kind = requests.NodeReleased
	case nodebinary.Released:
		input.Kind = requests.NodeConfirmedRelease
	case nodebinary.Note:
		kind, amount, ok := decodeUsage(m)
		if !ok {
			return nil, nil
		}
		input.Kind, input.UsageKind, input.Amount = requests.NodeUsage, kind, amount
	default:
		return nil, nil
	}
	return input, nil
}

// decodeUsage decodes the quantity and amount of a note. The amount of a note without a value is 0. ok is false for an unknown
// quantity and for a value that is not a finite number.
func decodeUsage(m *nodebinary.Message) (kind flaxshelf.UsageKind, amount float64, ok bool) {
	if kind, ok = usageKinds[m.Token]; !ok || m.Value == "" {
		return kind, 0, ok
	}
	amount, err := strconv.ParseFloat(m.Value, 64)
	return kind, amount, err == nil && !math.IsNaN(amount) && !math.IsInf(amount, 0)
}

func missingParameter(m *nodebinary.Message, name string) error {
	return &nodebinary.ProtocolError{Type: m.Type, Field: name, Value: "none", Reason: "must have one"}
}

// EncodeOffer appends the set-up message of an offer to a node.
func EncodeOffer(dst []byte, e *requests.Offer) ([]byte, error) {
	id, err := parseTaskID(e.Task)
	if err != nil {
		return dst, err
	}
	timeLeftMillis := max(1, int64(e.TimeLeft/time.Millisecond))
	return nodebinary.Append(dst, &nodebinary.Message{Type: nodebinary.SetUp, Task: id, Cause: nodebinary.NoCause, Class: e.Class,
		TimeLeft: strconv.FormatInt(timeLeftMillis, 10), Key: e.Key, IdempotencyKey: e.IdempotencyKey,
		Description: e.Description, HasDescription: true})
}

// EncodeRelease appends the release message of a task to a node.
func EncodeRelease(dst []byte, e *requests.SendRelease) ([]byte, error) {
	id, err := parseTaskID(e.Task)
	if err != nil {
		return dst, err
	}
	return nodebinary.Append(dst, &nodebinary.Message{Type: nodebinary.Release, Task: id, Cause: int(e.Cause)})
}

func parseTaskID(id string) (uint64, error) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("task %q: must be hex digits: %w", id, err)
	}
	return n, nil
}

// formatTaskID returns the ID of a task as 16 hex digits, the form that owners use.
func formatTaskID(id uint64) string {
	const digits = "0123456789abcdef"
	var text [16]byte
	for i := len(text) - 1; i >= 0; i-- {
		text[i] = digits[id&15]
		id >>= 4
	}
	return string(text[:])
}
