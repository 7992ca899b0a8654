// Package framereader splits the bytes that a connection has received into frames of the node wire. It must not
// interpret frames, open sockets or keep anything between two calls.
package framereader

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe"
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// Each decodes the complete frames at the front of received and calls handle for each, in order. It returns how many
// bytes belong to frames that were passed to handle; the rest is the start of a frame that has more bytes to come.
//
// The error is that of nodeframe.Next for bytes that are no frame, or that of handle, which ends the reading; the
// connection can't be read on after either. Each keeps nothing of received, so several goroutines may use it at once.
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
