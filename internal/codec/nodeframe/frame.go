// Package nodeframe owns the bytes between schedulers, nodes and the inventory: length-prefixed frames of
// protobuf messages. It must not decide anything or keep a connection.
package nodeframe

import (
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Version is the one version of the wire that this build speaks.
const Version = 1

// MaxFrame is the longest payload in bytes that either side takes. A welcome that hands over more is cut into
// several.
const MaxFrame = 1 << 20

// HeldPerWelcome bounds the tasks of one Welcome frame, so that it stays within MaxFrame.
const HeldPerWelcome = 1000

// ErrTooLong is returned for a frame whose announced length is over MaxFrame.
var ErrTooLong = errors.New("nodeframe: frame over the limit")

// ErrEmpty is returned for a frame without a message.
var ErrEmpty = errors.New("nodeframe: frame without a message")

const prefix = 4

// Append encodes f behind dst: four bytes of length, most significant first, then the message.
func Append(dst []byte, f *nodepb.Frame) ([]byte, error) {
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst, err := proto.MarshalOptions{}.MarshalAppend(dst, f)
	if err != nil {
		return dst[:at], fmt.Errorf("nodeframe: encode: %w", err)
	}
	n := len(dst) - at - prefix
	if n > MaxFrame {
		return dst[:at], fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	binary.BigEndian.PutUint32(dst[at:], uint32(n))
	return dst, nil
}

// Next reads one frame from the front of buf. It returns a nil frame and 0 when more bytes are needed, and
// keeps nothing of buf. An error means that the stream can't be read on.
func Next(buf []byte) (f *nodepb.Frame, used int, err error) {
	if len(buf) < prefix {
		return nil, 0, nil
	}
	n := binary.BigEndian.Uint32(buf)
	switch {
	case n > MaxFrame: // a peer that announces gigabytes must not make us wait for them
		return nil, 0, fmt.Errorf("%w: %d bytes announced", ErrTooLong, n)
	case n == 0:
		return nil, 0, ErrEmpty
	case len(buf) < prefix+int(n):
		return nil, 0, nil
	}
	f = &nodepb.Frame{}
	if err := proto.Unmarshal(buf[prefix:prefix+int(n)], f); err != nil {
		return nil, 0, fmt.Errorf("nodeframe: decode: %w", err)
	}
	if f.Body == nil { // also what a message of a later version decodes to
		return nil, 0, ErrEmpty
	}
	return f, prefix + int(n), nil
}

// Agree picks the version to speak with a peer that knows from lo to hi.
func Agree(lo, hi uint32) (uint32, error) {
	if lo > Version || hi < Version {
		return 0, fmt.Errorf("nodeframe: the peer speaks versions %d to %d, this build only %d", lo, hi, Version)
	}
	return Version, nil
}
