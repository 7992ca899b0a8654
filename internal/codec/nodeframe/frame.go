// Package nodeframe encodes and decodes the frames that schedulers, nodes and the inventory exchange. A frame is a protobuf
// message with a length prefix. The package does no I/O. Its functions are safe for concurrent use.
package nodeframe

import (
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Version is the only protocol version that this build supports.
const Version = 1

// MaxMessageBytes is the greatest length of a message that either side accepts, without its length prefix.
const MaxMessageBytes = 1 << 20

// MaxHeldPerWelcome is the greatest number of tasks in a Welcome message, which keeps the message within MaxMessageBytes. A node
// that holds more tasks sends several Welcome messages.
const MaxHeldPerWelcome = 1000

// lengthSize is the size in bytes of the length prefix, which is big-endian.
const lengthSize = 4

// ErrTooLong is matched by the error about an incoming or outgoing message longer than MaxMessageBytes.
var ErrTooLong = errors.New("message too long")

// ErrEmpty is matched by the error about a frame without a body, or with a body of a type that this version doesn't know.
var ErrEmpty = errors.New("no body of a known type")

// FrameError reports an incoming frame that violates the protocol, or a frame that can't be encoded. After the former, the
// connection must be closed. It matches its cause: ErrTooLong, ErrEmpty, or an error of protobuf.
type FrameError struct {
	Bytes int64 // length of the message, without its length prefix
	Err   error // the cause
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("nodeframe: message of %d bytes, limit %d: %v", e.Bytes, MaxMessageBytes, e.Err)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// VersionError reports a peer that does not support Version, but Min to Max.
type VersionError struct{ Min, Max uint32 }

// Error returns the text that nodes also send to the peer, as the reason of a Bye.
func (e *VersionError) Error() string {
	return fmt.Sprintf("nodeframe: the peer supports versions %d to %d, this build only %d", e.Min, e.Max, Version)
}

// Append appends the encoding of frame to dst. If frame can't be encoded, it returns dst unchanged and a *FrameError.
func Append(dst []byte, frame *nodepb.Frame) ([]byte, error) {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0) // the length is filled in below
	dst, err := proto.MarshalOptions{}.MarshalAppend(dst, frame)
	if err != nil {
		return dst[:start], &FrameError{Bytes: int64(proto.Size(frame)), Err: err}
	}
	size := len(dst) - start - lengthSize
	if size > MaxMessageBytes {
		return dst[:start], &FrameError{Bytes: int64(size), Err: ErrTooLong}
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(size))
	return dst, nil
}

// Next decodes the first frame of buf and returns the number of bytes that it used. It returns nil and 0 when more bytes are
// needed. It does not retain buf. The error is a *FrameError.
func Next(buf []byte) (frame *nodepb.Frame, used int, err error) {
	if len(buf) < lengthSize {
		return nil, 0, nil
	}
	size := int64(binary.BigEndian.Uint32(buf))
	switch {
	case size > MaxMessageBytes: // rejected before the rest arrives, which could be gigabytes
		return nil, 0, &FrameError{Bytes: size, Err: ErrTooLong}
	case size == 0:
		return nil, 0, &FrameError{Bytes: size, Err: ErrEmpty}
	case int64(len(buf)) < lengthSize+size:
		return nil, 0, nil
	}
	end := lengthSize + int(size)
	frame = &nodepb.Frame{}
	if err := proto.Unmarshal(buf[lengthSize:end], frame); err != nil {
		return nil, 0, &FrameError{Bytes: size, Err: err}
	}
	if frame.Body == nil { // also if the body is of a type that only a later version has
		return nil, 0, &FrameError{Bytes: size, Err: ErrEmpty}
	}
	return frame, end, nil
}

// NegotiateVersion returns the protocol version to use with a peer that supports versions peerMin to peerMax. The error is a
// *VersionError.
func NegotiateVersion(peerMin, peerMax uint32) (uint32, error) {
	if peerMin > Version || peerMax < Version {
		return 0, &VersionError{Min: peerMin, Max: peerMax}
	}
	return Version, nil
}
