// Package nodeframe encodes and decodes the frames between schedulers, nodes and the inventory: protobuf messages with a
// length prefix. It does no I/O. Its functions are safe for concurrent use.
package nodeframe

import (
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Version is the only version of the protocol that this build supports.
const Version = 1

// MaxMessageBytes is the longest message that either side accepts, in bytes without the length prefix.
const MaxMessageBytes = 1 << 20

// MaxHeldPerWelcome is the number of tasks in a Welcome message at most, which keeps it within MaxMessageBytes. A node with
// more tasks sends several messages.
const MaxHeldPerWelcome = 1000

// lengthSize is the size of the length prefix: four bytes, big-endian.
const lengthSize = 4

// ErrTooLong is matched by the error for a message longer than MaxMessageBytes, incoming or outgoing.
var ErrTooLong = errors.New("over the limit")

// ErrEmpty is matched by the error for a frame without a message that this version knows.
var ErrEmpty = errors.New("no message")

// FrameError reports a frame that violates the protocol, or can't be encoded. The connection that it arrived on can't be used
// after it. It matches its cause: ErrTooLong, ErrEmpty, or an error of protobuf.
type FrameError struct {
	Bytes int64 // of the message, by its length prefix
	Err   error
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("nodeframe: message of %d bytes, %d at most: %v", e.Bytes, MaxMessageBytes, e.Err)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Err }

// VersionError reports a peer that does not support Version.
type VersionError struct{ Min, Max uint32 }

func (e *VersionError) Error() string {
	return fmt.Sprintf("nodeframe: the peer supports versions %d to %d, this build only %d", e.Min, e.Max, Version)
}

// Append appends the encoding of frame to dst. It returns dst unchanged and a *FrameError if the frame can't be encoded.
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
// needed. It keeps no reference to buf. The error is a *FrameError.
func Next(buf []byte) (frame *nodepb.Frame, used int, err error) {
	if len(buf) < lengthSize {
		return nil, 0, nil
	}
	size := int64(binary.BigEndian.Uint32(buf))
	switch {
	case size > MaxMessageBytes: // before the message has arrived, which could be gigabytes
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
	if frame.Body == nil { // also for a message of a later version
		return nil, 0, &FrameError{Bytes: size, Err: ErrEmpty}
	}
	return frame, end, nil
}

// NegotiateVersion returns the version to use with a peer that supports versions peerMin to peerMax. The error is a
// *VersionError.
func NegotiateVersion(peerMin, peerMax uint32) (uint32, error) {
	if peerMin > Version || peerMax < Version {
		return 0, &VersionError{Min: peerMin, Max: peerMax}
	}
	return Version, nil
}
