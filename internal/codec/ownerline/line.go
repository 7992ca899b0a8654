// Package ownerline owns the bytes between owners and a scheduler on the platform: one JSON object a line. It must not
// decide anything or keep a connection.
package ownerline

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// MaxLine is the longest line in bytes that either side may send, its line feed included.
const MaxLine = 16 << 10

// ErrTooLong is returned for a line over MaxLine, as soon as that many bytes have come without a line feed.
var ErrTooLong = errors.New("ownerline: line over the limit")

// Type is what a message is.
type Type string

// The types of messages.
const (
	SetUp    Type = "setup"
	Progress Type = "progress"
	Answer   Type = "answer"
	Release  Type = "release"
	Released Type = "released"
	Ping     Type = "ping"
	Pong     Type = "pong"
	Note     Type = "note"
	Move     Type = "move"
)

// Message is one line.
type Message struct {
	Type        Type
	ID          string // 16 lower-case hex digits
	Fields      map[string]string
	Cause       int // -1 where none came along
	Description string
	Described   bool
}

type wire struct {
	Type   Type             `json:"type"`
	ID     string           `json:"id"`
	Fields map[string]field `json:"fields"`
	Cause  *int             `json:"cause"`
	SDP    *string          `json:"sdp"`
}

// field is a string or a number, kept as its text.
type field string

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (f *field) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	t, err := d.ReadToken()
	if err != nil {
		return err
	}
	if k := t.Kind(); k != '"' && k != '0' {
		return fmt.Errorf("a field is a string or a number, not %v", k)
	}
	*f = field(t.String())
	return nil
}

// Next reads one line from the front of buf. It returns nil and 0 when more bytes are needed, and keeps nothing of buf.
// An error means that the peer does not speak this protocol.
func Next(buf []byte) (m *Message, used int, err error) {
	end := bytes.IndexByte(buf, '\n')
	if end < 0 && len(buf) >= MaxLine || end >= MaxLine {
		return nil, 0, ErrTooLong
	}
	if end < 0 {
		return nil, 0, nil
	}
	m, err = parse(buf[:end])
	return m, end + 1, err
}

func parse(line []byte) (*Message, error) {
	var w wire
	if err := json.Unmarshal(line, &w); err != nil {
		return nil, fmt.Errorf("ownerline: %w", err)
	}
	if !ValidID(w.ID) {
		return nil, fmt.Errorf("ownerline: field id: %.40q is not 16 hex digits", w.ID)
	}
	m := &Message{Type: w.Type, ID: w.ID, Cause: -1, Fields: make(map[string]string, len(w.Fields))}
	for k, v := range w.Fields {
		m.Fields[k] = string(v)
	}
	if w.Cause != nil {
		if m.Cause = *w.Cause; m.Cause < 0 || m.Cause > 255 {
			return nil, fmt.Errorf("ownerline: field cause: %d is not between 0 and 255", m.Cause)
		}
	}
	if w.SDP != nil {
		m.Description, m.Described = *w.SDP, true
	}
	switch w.Type {
	case SetUp, Progress, Answer, Release, Released, Ping, Pong, Note, Move:
		return m, nil
	}
	return nil, fmt.Errorf("ownerline: field type: %.40q is not known", w.Type)
}

// ValidID tells whether id names a task: 16 lower-case hex digits.
func ValidID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for i := range len(id) {
		if c := id[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Append encodes a message without fields behind dst. The error is for a description that no JSON string can hold.
func Append(dst []byte, m *Message) ([]byte, error) {
	at := len(dst)
	dst = append(dst, `{"type":"`...)
	dst = append(dst, m.Type...)
	dst = append(dst, `","id":"`...)
	dst = append(dst, m.ID...)
	dst = append(dst, `","fields":{}`...)
	if m.Described {
		dst = append(dst, `,"sdp":`...)
		var err error
		if dst, err = jsontext.AppendQuote(dst, m.Description); err != nil {
			return dst[:at], fmt.Errorf("ownerline: description of %s: %w", m.ID, err)
		}
	}
	if m.Cause >= 0 {
		dst = append(dst, `,"cause":`...)
		dst = strconv.AppendInt(dst, int64(m.Cause), 10)
	}
	dst = append(dst, "}\n"...)
	if len(dst)-at > MaxLine {
		return dst[:at], ErrTooLong
	}
	return dst, nil
}
