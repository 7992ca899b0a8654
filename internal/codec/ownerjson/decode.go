package ownerjson

import (
	"bytes"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Next decodes the first line of buf and returns the number of bytes that it used. It returns nil and 0 when more bytes are
// needed. It does not retain buf. The error is a *ProtocolError, after which the connection must be closed. A line longer than
// MaxLineBytes is rejected once that many bytes have arrived without a line feed. Its error matches ErrTooLong.
func Next(buf []byte) (m *Message, used int, err error) {
	end := bytes.IndexByte(buf, '\n')
	if end < 0 && len(buf) >= MaxLineBytes || end >= MaxLineBytes {
		return nil, 0, lineTooLong(buf, max(end+1, MaxLineBytes))
	}
	if end < 0 {
		return nil, 0, nil
	}
	m, err = decodeLine(buf[:end])
	return m, end + 1, err
}

func decodeLine(line []byte) (*Message, error) {
	var wire jsonMessage
	if err := json.Unmarshal(line, &wire, jsontext.AllowDuplicateNames(true)); err != nil {
		return nil, invalidJSON(line, err)
	}
	if err := wire.validate(); err != nil {
		return nil, err
	}
	m := &Message{Type: wire.Type, ID: wire.ID, Cause: NoCause, Fields: wire.Fields}
	if wire.Cause != nil {
		m.Cause = *wire.Cause
	}
	if wire.Description != nil {
		m.Description, m.HasDescription = *wire.Description, true
	}
	return m, nil
}

func (w *jsonMessage) validate() error {
	if !ValidID(w.ID) {
		return invalidField("/id", w.ID, "must be 16 lower-case hex digits")
	}
	if w.Cause != nil && (*w.Cause < 0 || *w.Cause > maxCause) {
		return invalidField("/cause", strconv.Itoa(*w.Cause), "must be between 0 and 255")
	}
	if !w.Type.isKnown() {
		return invalidField("/type", string(w.Type), "unknown message type")
	}
	return nil
}
