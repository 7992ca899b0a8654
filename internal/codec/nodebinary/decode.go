package nodebinary

import (
	"encoding/binary"
	"fmt"
	"strconv"
)

// Next decodes the first message of buf and returns the number of bytes that it used, which is 0 when more bytes are needed.
// It does not retain buf, and allocates nothing for an incomplete message. The error is a *ProtocolError.
func Next(buf []byte) (m Message, used int, err error) {
	if len(buf) < lengthSize {
		return m, 0, nil
	}
	size := int(binary.BigEndian.Uint16(buf)) + lengthSize
	if size < headerSize || size > MaxMessageBytes {
		return m, 0, &ProtocolError{Field: "length", Value: strconv.Itoa(size - lengthSize),
			Reason: fmt.Sprintf("must be between %d and %d", headerSize-lengthSize, MaxMessageBytes-lengthSize)}
	}
	// The type is checked before the rest of the message has arrived, since a peer of another protocol may never send it.
	if len(buf) > lengthSize && !Type(buf[lengthSize]).isKnown() {
		return m, 0, &ProtocolError{Offset: lengthSize, Field: "type", Value: strconv.Itoa(int(buf[lengthSize])),
			Reason: "unknown message type"}
	}
	if len(buf) < size {
		return m, 0, nil
	}
	m = Message{Type: Type(buf[lengthSize]), Task: binary.BigEndian.Uint64(buf[lengthSize+typeSize:]), Cause: NoCause}
	if err := m.decodeParameters(buf[:size]); err != nil {
		return m, 0, err
	}
	return m, size, nil
}

// decodeParameters sets the fields of m from the parameters of a complete message.
func (m *Message) decodeParameters(message []byte) error {
	for offset := headerSize; offset < len(message); {
		rest := message[offset:]
		if len(rest) < parameterHeaderSize {
			return m.invalidParameter(offset, "parameter", len(rest),
				fmt.Sprintf("too short for the parameter header of %d bytes", parameterHeaderSize))
		}
		code, size := rest[0], int(binary.BigEndian.Uint16(rest[1:]))
		value := rest[parameterHeaderSize:]
		if size > len(value) {
			return m.invalidParameter(offset, parameterName(code), size, fmt.Sprintf("only %d bytes left", len(value)))
		}
		if code == codeCause && size != 1 {
			return m.invalidParameter(offset, parameterName(code), size, "a cause must have 1 byte")
		}
		m.setParameter(code, value[:size])
		offset += parameterHeaderSize + size
	}
	return nil
}

// invalidParameter returns the error for a parameter that begins at offset. size is the invalid number of bytes.
func (m *Message) invalidParameter(offset int, name string, size int, reason string) error {
	return &ProtocolError{Type: m.Type, Offset: offset, Field: name, Value: fmt.Sprintf("%d bytes", size), Reason: reason}
}

// setParameter sets the field of m for the parameter with the given code. Unknown codes, which later versions may add, are
// ignored.
func (m *Message) setParameter(code byte, value []byte) {
	switch code {
	case codeClass:
		m.Class = string(value)
	case codeTimeLeft:
		m.TimeLeft = string(value)
	case codeKey:
		m.Key = string(value)
	case codeToken:
		m.Token = string(value)
	case codeValue:
		m.Value = string(value)
	case codeIdempotencyKey:
		m.IdempotencyKey = string(value)
	case codeCause:
		m.Cause = int(value[0])
	case codeDescription:
		m.Description, m.HasDescription = string(value), true
	}
}

func parameterName(code byte) string { return "parameter " + strconv.Itoa(int(code)) }
