package nodefront

import (
	"errors"
	"fmt"

	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
)

// inventoryPeer is the name of the inventory in errors.
const inventoryPeer = "inventory"

// ErrProtocol is matched by every ProtocolError.
var ErrProtocol = errors.New("nodefront: the peer does not keep to the protocol")

// ProtocolError reports a frame that its sender must not send, or not at that time. The connection must be closed.
type ProtocolError struct {
	Peer   string // name of the node, or "inventory"
	Frame  string // type of the frame's body
	Reason string
}

func newProtocolError(peer string, frame *nodepb.Frame, reason string) *ProtocolError {
	return &ProtocolError{Peer: peer, Frame: fmt.Sprintf("%T", frame.Body), Reason: reason}
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("%v: %s from %s: %s", ErrProtocol, e.Frame, e.Peer, e.Reason)
}

// Unwrap makes errors.Is match ErrProtocol.
func (e *ProtocolError) Unwrap() error { return ErrProtocol }

// ByeError reports that the peer has announced that it closes the connection.
type ByeError struct {
	Peer   string // name of the node, or "inventory"
	Reason string // as the peer gave it
}

// Error implements error.
func (e *ByeError) Error() string {
	return fmt.Sprintf("nodefront: %s closes the connection: %s", e.Peer, e.Reason)
}
