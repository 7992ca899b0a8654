package platformfront

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/nodebinary"
	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// releaseReasons maps the tokens in a node's release message to reasons.
var releaseReasons = map[string]flaxshelf.Reason{
	"cpu_full": flaxshelf.InsufficientCores, "mem_full": flaxshelf.InsufficientMemory, "busy": flaxshelf.QueueFull,
	"wrong_host": flaxshelf.UnsupportedTask, "oom": flaxshelf.Evicted, "preempted": flaxshelf.Preempted,
	"drained": flaxshelf.DrainedAway,
}

// usageKinds maps the tokens in a node's usage reports, which are notes on the wire, to the reported quantities.
var usageKinds = map[string]flaxshelf.UsageKind{
	"up": flaxshelf.TaskRunning, "cpu": flaxshelf.CoresUsed, "mem": flaxshelf.MemoryUsed, "share": flaxshelf.ServiceLevel,
	"tight": flaxshelf.MemoryPressure,
}

// DecodeNodeMessage translates a message from a node into an input for the core. It returns nil for a message that the core does
// not need. The error is a *nodebinary.ProtocolError for an answer without a description or with one that no owner can be sent,
// and for a release without a cause.
func DecodeNodeMessage(link requests.LinkID, m *nodebinary.Message) (requests.Input, error) {
	input := requests.NodeMessage{
		Link:   link,
		Task:   formatTaskID(m.Task),
		Cause:  requests.Cause(m.Cause),
		Reason: releaseReasons[m.Token],
	}
	switch m.Type {
	case nodebinary.Answer:
		if err := checkAnswer(m, input.Task); err != nil {
			return nil, err
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

// decodeUsage decodes the quantity and amount in a note. The amount is 0 if the note has no value. ok is false if the quantity is
// unknown or the value is not a finite number.
func decodeUsage(m *nodebinary.Message) (kind flaxshelf.UsageKind, amount float64, ok bool) {
	if kind, ok = usageKinds[m.Token]; !ok || m.Value == "" {
		return kind, 0, ok
	}
	amount, err := strconv.ParseFloat(m.Value, 64)
	return kind, amount, err == nil && !math.IsNaN(amount) && !math.IsInf(amount, 0)
}

// maxErrorValueBytes is the number of bytes of a description that an error quotes.
const maxErrorValueBytes = 40

// checkAnswer returns an error for an answer without a description, or with one that cannot be passed on to an owner. The core
// must not receive it: a request counts as answered once its node's answer has arrived.
func checkAnswer(m *nodebinary.Message, task string) error {
	if !m.HasDescription || m.Description == "" {
		return missingParameter(m, "description")
	}
	if err := ownerjson.CheckDescription(ownerjson.Answer, task, m.Description); err != nil {
		return &nodebinary.ProtocolError{Type: m.Type, Field: "description",
			Value:  strconv.Quote(m.Description[:min(len(m.Description), maxErrorValueBytes)]),
			Reason: fmt.Sprintf("must be text that fits an owner's line: %v", err)}
	}
	return nil
}

// missingParameter returns the error for a message without a parameter that its type requires.
func missingParameter(m *nodebinary.Message, name string) error {
	return &nodebinary.ProtocolError{Type: m.Type, Field: name, Value: "none", Reason: "must be present"}
}

// EncodeOffer appends the set-up message to a node that offers it a task.
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

// EncodeRelease appends the release message to a node for a task.
func EncodeRelease(dst []byte, e *requests.SendRelease) ([]byte, error) {
	id, err := parseTaskID(e.Task)
	if err != nil {
		return dst, err
	}
	return nodebinary.Append(dst, &nodebinary.Message{Type: nodebinary.Release, Task: id, Cause: int(e.Cause)})
}

// parseTaskID returns the number that nodes use as the ID of a task.
func parseTaskID(id string) (uint64, error) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("task ID %q: must be 1 to 16 hex digits: %w", id, err)
	}
	return n, nil
}

// formatTaskID returns the ID of a task in the form that owners use: 16 hex digits.
func formatTaskID(id uint64) string {
	const digits = "0123456789abcdef"
	var text [16]byte
	for i := len(text) - 1; i >= 0; i-- {
		text[i] = digits[id&15]
		id >>= 4
	}
	return string(text[:])
}
