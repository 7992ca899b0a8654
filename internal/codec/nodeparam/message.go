// Package nodeparam owns the bytes between a scheduler and the platform's nodes: binary messages of parameters. It must
// not decide anything or keep a connection.
package nodeparam

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxMessage is the longest message in bytes that either side may send, its length included.
const MaxMessage = 16 << 10

// ErrMalformed is wrapped by every error about bytes that no message can begin with: the connection can't be read on.
var ErrMalformed = errors.New("nodeparam: bytes that are no message")

// Type is what a message is.
type Type byte

// The types of messages.
const (
	SetUp    Type = 1
	Progress Type = 6
	Answer   Type = 9
	Release  Type = 12
	Released Type = 16
	Note     Type = 44
	Move     Type = 51
	Ping     Type = 52
	Pong     Type = 53
)

// The codes of parameters.
const (
	codeClass       = 180
	codeLeft        = 181
	codeKey         = 184
	codeWord        = 187
	codeFigure      = 192
	codeIdem        = 193
	codeCause       = 194
	codeDescription = 195
)

// Message is one message. Texts that did not come along are empty.
type Message struct {
	Type           Type
	Task           uint64
	Cause          int // -1 where none came along
	Token          string
	Value          string
	Class          string
	TimeLeft       string // milliseconds
	Key            string
	IdempotencyKey string
	Description    string
	Described      bool
}

const head = 2 + 1 + 8

// Next reads one message from the front of buf. It returns 0 used when more bytes are needed, and keeps nothing of buf.
// Nothing is allocated by an announced length.
func Next(buf []byte) (m Message, used int, err error) {
	if len(buf) < 2 {
		return m, 0, nil
	}
	n := int(binary.BigEndian.Uint16(buf)) + 2
	if n < head || n > MaxMessage {
		return m, 0, fmt.Errorf("%w: %d bytes announced", ErrMalformed, n-2)
	}
	if len(buf) > 2 && !known(Type(buf[2])) { // told before the announced bytes come, which may be never
		return m, 0, fmt.Errorf("%w: type %d", ErrMalformed, buf[2])
	}
	if len(buf) < n {
		return m, 0, nil
	}
	m.Type, m.Task, m.Cause = Type(buf[2]), binary.BigEndian.Uint64(buf[3:]), -1
	for rest := buf[head:n]; len(rest) > 0; {
		if len(rest) < 3 {
			return m, 0, fmt.Errorf("%w: %d bytes behind the last parameter", ErrMalformed, len(rest))
		}
		code, size := rest[0], int(binary.BigEndian.Uint16(rest[1:]))
		if size > len(rest)-3 {
			return m, 0, fmt.Errorf("%w: parameter %d of %d bytes, %d are there", ErrMalformed, code, size, len(rest)-3)
		}
		if err := m.set(code, rest[3:3+size]); err != nil {
			return m, 0, err
		}
		rest = rest[3+size:]
	}
	return m, n, nil
}

func known(t Type) bool {
	switch t {
	case SetUp, Progress, Answer, Release, Released, Note, Move, Ping, Pong:
		return true
	}
	return false
}

func (m *Message) set(code byte, value []byte) error {
	switch code {
	case codeClass:
		m.Class = string(value)
	case codeLeft:
		m.TimeLeft = string(value)
	case codeKey:
		m.Key = string(value)
	case codeWord:
		m.Token = string(value)
	case codeFigure:
		m.Value = string(value)
	case codeIdem:
		m.IdempotencyKey = string(value)
	case codeCause:
		if len(value) != 1 {
			return fmt.Errorf("%w: a cause of %d bytes", ErrMalformed, len(value))
		}
		m.Cause = int(value[0])
	case codeDescription:
		m.Description, m.Described = string(value), true
	}
	return nil
}

// Append encodes m behind dst. The error is for a message over MaxMessage.
func Append(dst []byte, m *Message) ([]byte, error) {
	at := len(dst)
	dst = append(dst, 0, 0, byte(m.Type))
	dst = binary.BigEndian.AppendUint64(dst, m.Task)
	for _, p := range [...]struct {
		code byte
		text string
	}{{codeClass, m.Class}, {codeLeft, m.TimeLeft}, {codeKey, m.Key}, {codeWord, m.Token}, {codeFigure, m.Value},
		{codeIdem, m.IdempotencyKey}} {
		if p.text != "" {
			dst = appendText(dst, p.code, p.text)
		}
	}
	if m.Cause >= 0 {
		dst = append(dst, codeCause, 0, 1, byte(m.Cause))
	}
	if m.Described {
		dst = appendText(dst, codeDescription, m.Description)
	}
	n := len(dst) - at
	if n > MaxMessage {
		return dst[:at], fmt.Errorf("nodeparam: message of %d bytes, %d at most", n, MaxMessage)
	}
	binary.BigEndian.PutUint16(dst[at:], uint16(n-2))
	return dst, nil
}

func appendText(dst []byte, code byte, text string) []byte {
	dst = append(dst, code, byte(len(text)>>8), byte(len(text)))
	return append(dst, text...)
}
