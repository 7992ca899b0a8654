// Package framereader splits the bytes received on a connection into frames of the node protocol. It must not interpret the
// frames, open sockets or keep state between calls.
package framereader

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Each decodes the complete frames at the start of received and calls handle with each of them, in order. used is the total
// length of the frames passed to handle. Without an error, the bytes after them are the start of an incomplete frame, which
// the caller must pass again together with the bytes that follow.
//
// Each stops at the first error, which is that of nodeframe.Next for invalid bytes, or that of handle. The caller must then
// close the connection. Each does not retain received and is safe for concurrent use.
func Each(received []byte, handle func(frame *nodepb.Frame) error) (used int, err error) {
	for {
		frame, size, err := nodeframe.Next(received[used:])
		if err != nil || frame == nil {
			return used, err
		}
		used += size
		if err := handle(frame); err != nil {
			return used, err
		}
	}
}
