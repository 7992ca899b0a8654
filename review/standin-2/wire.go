package main

import (
	"bufio"
	"encoding/binary"
	"io"
	"strconv"
)

// Types and parameters of the binary messages.
const (
	typeSetUp   = 1
	typeAnswer  = 9
	typeRelease = 12
	typeNote    = 44
	typePing    = 52
	typePong    = 53

	paramClass       = 180
	paramLeft        = 181
	paramKey         = 184
	paramToken       = 187
	paramValue       = 192
	paramIdem        = 193
	paramCause       = 194
	paramDescription = 195
)

type binaryMessage struct {
	kind   byte
	task   uint64
	params map[byte]string
}

func readBinary(r *bufio.Reader) (*binaryMessage, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint16(head[:]))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if len(body) < 9 {
		return nil, io.ErrUnexpectedEOF
	}
	m := &binaryMessage{kind: body[0], task: binary.BigEndian.Uint64(body[1:]), params: map[byte]string{}}
	for rest := body[9:]; len(rest) >= 3; {
		size := int(binary.BigEndian.Uint16(rest[1:]))
		if size > len(rest)-3 {
			return nil, io.ErrUnexpectedEOF
		}
		m.params[rest[0]] = string(rest[3 : 3+size])
		rest = rest[3+size:]
	}
	return m, nil
}

func (m *binaryMessage) encode() []byte {
	b := make([]byte, 2, 64)
	b = append(b, m.kind)
	b = binary.BigEndian.AppendUint64(b, m.task)
	for code := 180; code < 200; code++ {
		if value, ok := m.params[byte(code)]; ok {
			b = append(b, byte(code), byte(len(value)>>8), byte(len(value)))
			b = append(b, value...)
		}
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

func answerMessage(task uint64, description string) *binaryMessage {
	return &binaryMessage{kind: typeAnswer, task: task, params: map[byte]string{paramDescription: description}}
}

func releaseMessage(task uint64, cause byte, token string) *binaryMessage {
	m := &binaryMessage{kind: typeRelease, task: task, params: map[byte]string{paramCause: string([]byte{cause})}}
	if token != "" {
		m.params[paramToken] = token
	}
	return m
}

func noteMessage(task uint64, token string, value float64) *binaryMessage {
	return &binaryMessage{kind: typeNote, task: task,
		params: map[byte]string{paramToken: token, paramValue: strconv.FormatFloat(value, 'g', -1, 64)}}
}

// jsonMessage is a line between an owner and a scheduler.
type jsonMessage struct {
	Type   string         `json:"type"`
	ID     string         `json:"id"`
	Fields map[string]any `json:"fields"`
	Cause  *int           `json:"cause,omitempty"`
	SDP    *string        `json:"sdp,omitempty"`
}
