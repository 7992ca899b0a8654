package platformfront

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"flaxshelf.example/flaxshelf"
	"flaxshelf.example/flaxshelf/internal/codec/ownerline"
	"flaxshelf.example/flaxshelf/internal/requests"
)

// maxLeft bounds how long an owner may want to wait.
const maxLeft = time.Hour

// maxText bounds the names that an owner may give, in bytes.
const maxText = 256

// errNotAsked is for messages that an owner has no business to send.
var errNotAsked = errors.New("a message that owners don't send")

// DecodeOwnerMessage turns an owner's line into an input; nil for one that means nothing. A problem concerns this line alone.
func (c *Config) DecodeOwnerMessage(conn requests.Conn, now requests.Time, m *ownerline.Message) (requests.Input, error) {
	switch m.Type {
	case ownerline.SetUp:
		return c.setUp(conn, now, m)
	case ownerline.Release:
		return requests.Release{Conn: conn, Task: m.ID}, nil
	case ownerline.Move:
		return requests.Migrated{Conn: conn, Task: m.ID}, nil
	case ownerline.Ping:
		return requests.Ping{Conn: conn, Task: m.ID}, nil
	case ownerline.Progress, ownerline.Released, ownerline.Note:
		return nil, nil
	}
	return nil, errNotAsked
}

func (c *Config) setUp(conn requests.Conn, now requests.Time, m *ownerline.Message) (requests.Input, error) {
	bad := func(field string) (requests.Input, error) {
		return nil, fmt.Errorf("set-up %s: field %s: %.40q", m.ID, field, m.Fields[field])
	}
	class, ok := c.Names.Class[m.Fields["class"]]
	if !ok {
		return bad("class")
	}
	t := flaxshelf.Task{ID: m.ID, Key: m.Fields["key"], Class: class, Tenant: -1}
	if !plain(t.Key) {
		return bad("key")
	}
	left, err := strconv.ParseFloat(m.Fields["left"], 64)
	at, extras, held, err2 := "", map[string]string{}, false, error(nil)
	for part := range strings.SplitSeq(m.Fields["extras"], ";") {
		k, v, _ := strings.Cut(part, ":")
		extras[k] = v
	}
	at, held = extras["at"]
	if !held && (err != nil || !(left >= 1) || left > float64(maxLeft/time.Millisecond)) {
		return bad("left")
	}
	t.Deadline = now + time.Duration(max(left, 0)*float64(time.Millisecond))
	if t.Cores, err = strconv.ParseFloat(extras["cores"], 64); err != nil || !c.fits(t.Cores, false) {
		return bad("extras")
	}
	if t.Memory, err2 = strconv.ParseFloat(extras["memory"], 64); err2 != nil || !c.fits(t.Memory, true) {
		return bad("extras")
	}
	if t.Service = extras["service"]; !plain(t.Service) {
		return bad("extras")
	}
	if h := m.Fields["hint"]; h != "" {
		if ms, err := strconv.ParseFloat(h, 64); err == nil && ms >= 0 && ms < float64(24*time.Hour/time.Millisecond) {
			t.ExpectedRuntime = time.Duration(ms * float64(time.Millisecond))
		}
	}
	if tenant, ok := c.Names.Tenant[m.Fields["tenant"]]; ok {
		t.Tenant = tenant
	}
	if held {
		if !plain(at) {
			return bad("extras")
		}
		return requests.Adopt{Conn: conn, Task: t, Node: at}, nil
	}
	idem := m.Fields["idem"]
	if c.Module.Classes[class].Idempotency == flaxshelf.IdempotentByKey && idem == "" || idem != "" && !plain(idem) {
		return bad("idem")
	}
	if !m.Described || m.Description == "" {
		return nil, fmt.Errorf("set-up %s: no description", m.ID)
	}
	return requests.Submit{Conn: conn, Task: t, Class: m.Fields["class"], IdempotencyKey: idem, Description: m.Description}, nil
}

// fits tells whether a figure is one that some machine could ever give.
func (c *Config) fits(x float64, memory bool) bool {
	if !(x > 0) || math.IsInf(x, 0) {
		return false
	}
	most := 0.0
	for _, k := range c.Module.Kinds {
		if memory {
			most = max(most, k.Memory*max(c.Module.MemoryOvercommit, 1))
		} else {
			most = max(most, k.Cores*max(c.Module.CoreOvercommit, 1))
		}
	}
	return x <= most
}

// plain tells whether s is a name: not empty, not long, and of printable ASCII without spaces.
func plain(s string) bool {
	if s == "" || len(s) > maxText {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// EncodeAccepted encodes the answer that a task stands.
func EncodeAccepted(dst []byte, e *requests.Accepted) ([]byte, error) {
	return ownerline.Append(dst, &ownerline.Message{Type: ownerline.Answer, ID: e.Task, Cause: -1,
		Description: e.Description, Described: true})
}

// EncodeTerminated encodes the word that a set-up was refused or failed, or that a task is over.
func EncodeTerminated(dst []byte, e *requests.Terminated) ([]byte, error) {
	if e.Migrate {
		return ownerline.Append(dst, &ownerline.Message{Type: ownerline.Move, ID: e.Task, Cause: -1})
	}
	return ownerline.Append(dst, &ownerline.Message{Type: ownerline.Release, ID: e.Task, Cause: e.Cause})
}

// EncodePong encodes the answer to a test.
func EncodePong(dst []byte, e *requests.Pong) ([]byte, error) {
	cause := 0
	if e.Passed {
		cause = 1
	}
	return ownerline.Append(dst, &ownerline.Message{Type: ownerline.Pong, ID: e.Task, Cause: cause})
}
