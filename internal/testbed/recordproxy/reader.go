package recordproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"flaxshelf.example/flaxshelf/internal/testbed/recordproxy/recordingpb"
)

// Reader reads a recording. It is not safe for concurrent use.
type Reader struct {
	buffer *bufio.Reader
	// CheckLimits are the limits by which the rules checker judges the recording, as JSON.
	CheckLimits []byte
}

// FormatError reports a file that is not a recording.
type FormatError struct{ Err error }

// Error describes why the file is not a recording.
func (e *FormatError) Error() string { return fmt.Sprintf("recordproxy: not a recording: %v", e.Err) }

// Unwrap returns Err.
func (e *FormatError) Unwrap() error { return e.Err }

// VersionError reports a recording whose format version this build cannot read.
type VersionError struct{ Version uint32 }

// Error names the version of the recording and the one that this build reads.
func (e *VersionError) Error() string {
	return fmt.Sprintf("recordproxy: recording has format version %d, this build reads version %d", e.Version, Version)
}

var errNoHead = errors.New("first record is not a head")

// NewReader reads the head of a recording and returns a reader for the records that follow it. The error is a *FormatError or
// a *VersionError.
func NewReader(r io.Reader) (*Reader, error) {
	reader := &Reader{buffer: bufio.NewReaderSize(r, bufferSize)}
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
	reader.CheckLimits = head.Figures
	return reader, nil
}

// Next returns the next record, or io.EOF at the end. A truncated recording ends after its last complete record.
func (r *Reader) Next() (*recordingpb.Record, error) {
	record := &recordingpb.Record{}
	err := protodelim.UnmarshalOptions{MaxSize: maxRecordSize}.UnmarshalFrom(r.buffer, record)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, err
	}
	return record, nil
}
