package recordproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// Reader reads a recording. It is used by one goroutine.
type Reader struct {
	buffer *bufio.Reader
	// Figures are those of the recording's head.
	Figures []byte
}

// FormatError is a file that is no recording.
type FormatError struct{ Err error }

// Error names the cause.
func (e *FormatError) Error() string { return fmt.Sprintf("recordproxy: not a recording: %v", e.Err) }

// Unwrap is the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// VersionError is a recording of a version that this build cannot read.
type VersionError struct{ Version uint32 }

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("recordproxy: version %d, this build reads %d", e.Version, Version)
}

var errNoHead = errors.New("it has no head")

// NewReader reads the head. The error is a *FormatError or a *VersionError.
func NewReader(r io.Reader) (*Reader, error) {
	reader := &Reader{buffer: bufio.NewReaderSize(r, bufferBytes)}
	record, err := reader.Next()
	if err != nil {
		return nil, &FormatError{Err: err}
	}
	head := record.GetHead()
	if head == nil {
		return nil, &FormatError{Err: errNoHead}
	}
	if head.Version != Version {
		return nil, &VersionError{Version: head.Version}
	}
	reader.Figures = head.Figures
	return reader, nil
}

// Next returns the next record; io.EOF at the end. A recording that was cut off ends where it was cut off.
func (r *Reader) Next() (*recordingpb.Record, error) {
	record := &recordingpb.Record{}
	err := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}.UnmarshalFrom(r.buffer, record)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, err
	}
	return record, nil
}
