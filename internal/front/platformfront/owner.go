package platformfront

import (
	"math"
	"strconv"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/ownerjson"
	"flaxshelf.example/flaxshelf/internal/requests"
)

const (
	// maxTimeLeft is how far ahead of the submission a task's deadline may be.
	maxTimeLeft = time.Hour
	// maxRuntimeHint is the expected run time from which on an owner's hint is ignored.
	maxRuntimeHint = 24 * time.Hour
	// maxNameLength is the maximum length in bytes of a name in an owner's message.
	maxNameLength = 256
)

// Names of the parts of an owner's message, beside its fields, in errors.
const (
	fieldDescription = "sdp"
	fieldType        = "type"
)

// DecodeOwnerMessage translates a message from an owner, received at now, into an input for the core. It returns nil for a
// message that the core does not need. The error is an *OwnerMessageError.
func (c *Config) DecodeOwnerMessage(conn requests.ConnID, now requests.Time, m *ownerjson.Message) (requests.Input, error) {
	switch m.Type {
	case ownerjson.SetUp:
		return c.decodeSetUp(conn, now, m)
	case ownerjson.Release:
		return requests.Release{Conn: conn, Task: m.ID}, nil
	case ownerjson.Move:
		return requests.Migrated{Conn: conn, Task: m.ID}, nil
	case ownerjson.Ping:
		return requests.Ping{Conn: conn, Task: m.ID}, nil
	case ownerjson.Progress, ownerjson.Released, ownerjson.Note:
		return nil, nil
	}
	return nil, &OwnerMessageError{Task: m.ID, Type: m.Type, Field: fieldType, Value: string(m.Type),
		Reason: "must be a type that owners send"}
}

// decodeSetUp translates a set-up message, which submits a task or requests the adoption of a running task.
func (c *Config) decodeSetUp(conn requests.ConnID, now requests.Time, m *ownerjson.Message) (requests.Input, error) {
	class, ok := c.Names.Class(m.Fields[ownerjson.FieldClass])
	if !ok {
		return nil, invalidField(m, ownerjson.FieldClass, "must be a class in the settings")
	}
	extras := parseExtras(m.Fields[ownerjson.FieldExtras])
	deadline, err := decodeDeadline(m, now, extras.adopted)
	if err != nil {
		return nil, err
	}
	task, err := c.decodeTask(m, class, &extras)
	if err != nil {
		return nil, err
	}
	task.Deadline = deadline
	if !extras.adopted {
		return c.decodeSubmission(conn, m, task)
	}
	if !isValidName(extras.node) {
		return nil, invalidField(m, ownerjson.FieldExtras, "at must be the name of a node")
	}
	return requests.Adopt{Conn: conn, Task: task, Node: extras.node}, nil
}

// extraFields holds the values in the field extras, which has name:value pairs separated by semicolons.
type extraFields struct {
	cores, memory, service string
	node                   string // node that already runs the task
	adopted                bool   // a node is given, though its name may be empty
}

func parseExtras(text string) (extras extraFields) {
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		switch name {
		case "cores":
			extras.cores = value
		case "memory":
			extras.memory = value
		case "service":
			extras.service = strings.Clone(value) // the core keeps it, but not the rest of text
		case "at":
			extras.node, extras.adopted = strings.Clone(value), true
		}
	}
	return extras
}

// decodeDeadline returns the deadline, which the message has as the time left in milliseconds. If it is optional, an invalid time
// is no error: it is limited to the valid ones, and a missing one or one that is no number means now.
func decodeDeadline(m *ownerjson.Message, now requests.Time, optional bool) (requests.Time, error) {
	const maxMillis = float64(maxTimeLeft / time.Millisecond)
	millis, err := strconv.ParseFloat(m.Fields[ownerjson.FieldTimeLeft], 64) // infinite if out of range
	valid := err == nil && millis >= 0 && millis <= maxMillis
	switch {
	case !valid && !optional:
		return 0, invalidField(m, ownerjson.FieldTimeLeft, "must be 0 to 3600000 milliseconds")
	case math.IsNaN(millis):
		millis = 0
	}
	millis = min(max(millis, 0), maxMillis)
	return now + time.Duration(millis*float64(time.Millisecond)), nil
}

// decodeTask decodes the fields that submissions and adoptions have in common, except the deadline.
func (c *Config) decodeTask(m *ownerjson.Message, class int, extras *extraFields) (flaxshelf.Task, error) {
	task := flaxshelf.Task{ID: m.ID, Key: m.Fields[ownerjson.FieldKey], Class: class, Tenant: -1, Service: extras.service,
		ExpectedRuntime: decodeRuntimeHint(m.Fields[ownerjson.FieldRuntimeHint])}
	if !isValidName(task.Key) {
		return task, invalidField(m, ownerjson.FieldKey, "must be 1 to 256 printable ASCII characters without spaces")
	}
	var ok bool
	if task.Cores, ok = parseAmount(extras.cores, c.maxCores()); !ok {
		return task, invalidField(m, ownerjson.FieldExtras, "cores must be above 0 and fit a machine")
	}
	if task.Memory, ok = parseAmount(extras.memory, c.maxMemory()); !ok {
		return task, invalidField(m, ownerjson.FieldExtras, "memory must be above 0 and fit a machine")
	}
	if !isValidName(task.Service) {
		return task, invalidField(m, ownerjson.FieldExtras, "service must be 1 to 256 printable ASCII characters without spaces")
	}
	task.Tenant = c.Names.Tenant(m.Fields[ownerjson.FieldTenant])
	return task, nil
}

// decodeRuntimeHint decodes the expected run time in milliseconds. It returns 0 if the text is empty, invalid or too large.
func decodeRuntimeHint(text string) time.Duration {
	if text == "" {
		return 0
	}
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil || !(millis >= 0) || millis >= float64(maxRuntimeHint/time.Millisecond) {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// decodeSubmission decodes the fields that only submissions have, and returns the submission of task.
func (c *Config) decodeSubmission(conn requests.ConnID, m *ownerjson.Message, task flaxshelf.Task) (requests.Input, error) {
	key := m.Fields[ownerjson.FieldIdempotencyKey]
	if key == "" && c.Placer.Classes[task.Class].Idempotency == flaxshelf.IdempotentByKey {
		return nil, invalidField(m, ownerjson.FieldIdempotencyKey, "the class needs an idempotency key")
	}
	if key != "" && !isValidName(key) {
		return nil, invalidField(m, ownerjson.FieldIdempotencyKey, "must be 1 to 256 printable ASCII characters without spaces")
	}
	if !m.HasDescription || m.Description == "" {
		return nil, &OwnerMessageError{Task: m.ID, Type: m.Type, Field: fieldDescription, Reason: "must not be empty"}
	}
	return requests.Submit{Conn: conn, Task: task, Class: m.Fields[ownerjson.FieldClass], IdempotencyKey: key,
		Description: m.Description}, nil
}

// maxCores returns the largest number of cores that a task may request: those of the largest kind of machine, with overcommit.
func (c *Config) maxCores() float64 {
	limit := 0.0
	for i := range c.Placer.Kinds {
		limit = max(limit, c.Placer.Kinds[i].Cores*max(c.Placer.CoreOvercommit, 1))
	}
	return limit
}

// maxMemory returns the largest amount of memory that a task may request: that of the largest kind of machine, with overcommit.
func (c *Config) maxMemory() float64 {
	limit := 0.0
	for i := range c.Placer.Kinds {
		limit = max(limit, c.Placer.Kinds[i].Memory*max(c.Placer.MemoryOvercommit, 1))
	}
	return limit
}

// parseAmount parses an amount of cores or memory. ok is false unless it is a finite number above 0 and not above limit.
func parseAmount(text string, limit float64) (amount float64, ok bool) {
	amount, err := strconv.ParseFloat(text, 64)
	return amount, err == nil && amount > 0 && amount <= limit && !math.IsInf(amount, 0)
}

// isValidName reports whether text is a valid name: 1 to maxNameLength bytes of printable ASCII without spaces.
func isValidName(text string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// invalidField returns the error for a field of a message. reason is what is expected of its value.
func invalidField(m *ownerjson.Message, field, reason string) error {
	return &OwnerMessageError{Task: m.ID, Type: m.Type, Field: field, Value: m.Fields[field], Reason: reason}
}

// EncodeAccepted appends the answer message to an owner whose task has been placed.
func EncodeAccepted(dst []byte, e *requests.Accepted) ([]byte, error) {
	return ownerjson.Append(dst, &ownerjson.Message{Type: ownerjson.Answer, ID: e.Task, Cause: ownerjson.NoCause,
		Description: e.Description, HasDescription: true})
}

// EncodeTerminated appends the message to an owner whose task was rejected, has failed, has ended or is to be migrated: a move if
// it is to be migrated, else a release.
func EncodeTerminated(dst []byte, e *requests.Terminated) ([]byte, error) {
	if e.Migrate {
		return ownerjson.Append(dst, &ownerjson.Message{Type: ownerjson.Move, ID: e.Task, Cause: ownerjson.NoCause})
	}
	return ownerjson.Append(dst, &ownerjson.Message{Type: ownerjson.Release, ID: e.Task, Cause: int(e.Cause)})
}

// EncodePong appends the answer to an owner's health check. The field cause on the wire is 1 if the check has passed, else 0.
func EncodePong(dst []byte, e *requests.Pong) ([]byte, error) {
	cause := 0
	if e.Passed {
		cause = 1
	}
	return ownerjson.Append(dst, &ownerjson.Message{Type: ownerjson.Pong, ID: e.Task, Cause: cause})
}
