// Package framereader splits the received bytes of a connection into frames of the node protocol. It must not interpret
// frames, open sockets or keep state between calls.
package framereader

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Each decodes the complete frames at the start of received and calls handle with each, in order. It returns the number of
// bytes of the frames passed to handle; the remaining bytes are the start of an incomplete frame.
//
// Each stops at the first error: that of nodeframe.Next for invalid bytes, or that of handle. The caller must then close the
// connection. Each does not retain received, and is safe for concurrent use.
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
