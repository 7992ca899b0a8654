package nodefront

import (
	"errors"
	"fmt"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// inventoryPeer is the ProtocolError.Peer and ByeError.Peer of the inventory.
const inventoryPeer = "inventory"

// ErrProtocol is wrapped by every ProtocolError, for errors.Is.
var ErrProtocol = errors.New("nodefront: protocol violation")

// ProtocolError reports a frame that the peer must not send, or must not send in the current state of the connection. The
// connection must be closed.
type ProtocolError struct {
	Peer   string // name of the node, or "inventory"
	Frame  string // Go type of the frame's body
	Reason string // why the frame is invalid
}

func newProtocolError(peer string, frame *nodepb.Frame, reason string) *ProtocolError {
	return &ProtocolError{Peer: peer, Frame: fmt.Sprintf("%T", frame.Body), Reason: reason}
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("%v: %s from %s: %s", ErrProtocol, e.Frame, e.Peer, e.Reason)
}

// Unwrap returns ErrProtocol.
func (e *ProtocolError) Unwrap() error { return ErrProtocol }

// ByeError reports a bye frame: the peer is about to close the connection.
type ByeError struct {
	Peer   string // name of the node, or "inventory"
	Reason string // text of the bye frame
}

// Error implements error.
func (e *ByeError) Error() string {
	return fmt.Sprintf("nodefront: %s closes the connection: %s", e.Peer, e.Reason)
}
