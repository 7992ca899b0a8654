package main

import (
	"encoding/binary"
	"errors"
	"io"
)

// The binary messages between schedulers and nodes, as the protocol page has them.

const (
	typeSetUp    = 1
	typeAnswer   = 9
	typeRelease  = 12
	typeReleased = 16
	typeNote     = 44
	typePing     = 52
	typePong     = 53
)

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

const (
	causeOK        = 16
	causeCancelled = 31
	causeFull      = 34
)

type param struct {
	code  byte
	value string
}

type frame struct {
	kind   byte
	task   uint64
	params []param
}

func (f *frame) get(code byte) (string, bool) {
	for _, p := range f.params {
		if p.code == code {
			return p.value, true
		}
	}
	return "", false
}

func (f *frame) cause() int {
	if v, ok := f.get(codeCause); ok && len(v) == 1 {
		return int(v[0])
	}
	return -1
}

func encodeFrame(kind byte, task uint64, params ...param) []byte {
	b := []byte{0, 0, kind}
	b = binary.BigEndian.AppendUint64(b, task)
	for _, p := range params {
		b = append(b, p.code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.value)))
		b = append(b, p.value...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

var errBadFrame = errors.New("bad frame")

func readFrame(r io.Reader) (*frame, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint16(head[:]))
	if len(body) < 9 {
		return nil, errBadFrame
	}
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	f := &frame{kind: body[0], task: binary.BigEndian.Uint64(body[1:9])}
	for rest := body[9:]; len(rest) > 0; {
		if len(rest) < 3 {
			return nil, errBadFrame
		}
		size := int(binary.BigEndian.Uint16(rest[1:3]))
		if len(rest) < 3+size {
			return nil, errBadFrame
		}
		f.params = append(f.params, param{rest[0], string(rest[3 : 3+size])})
		rest = rest[3+size:]
	}
	return f, nil
}
