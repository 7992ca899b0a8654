package nodefront

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// InventoryDecoder decodes the frames that the inventory sends on one connection. It is not safe for concurrent use.
type InventoryDecoder struct {
	Settings *settings.Scheduler

	entries      []*nodepb.Entry // received frames of the current listing, which may span several frames
	complete     bool            // the listing has all nodes, not only changes
	moreExpected bool            // the last frame of the listing has not been received yet
}

// InventoryMessage is a decoded frame of the inventory. It is the zero value for a frame that requires no action.
type InventoryMessage struct {
	Input     scheduler.Input   // nil if the core doesn't need the frame
	Addresses map[string]string // addresses of the nodes in a listing, by node name
	Failed    bool              // the inventory could not execute a request; the connection stays open
}

// Decode translates a frame. A listing may span several frames: their entries are one input, which is returned for the last
// frame. The error is a *ProtocolError or *ByeError, after which the connection must be closed.
func (d *InventoryDecoder) Decode(frame *nodepb.Frame) (InventoryMessage, error) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Welcome:
		return InventoryMessage{}, nil
	case *nodepb.Frame_Listing:
		if !d.collectListing(body.Listing) {
			return InventoryMessage{}, nil
		}
		message := decodeListing(d.Settings, d.entries, d.complete)
		d.entries = nil
		return message, nil
	case *nodepb.Frame_ListError:
		return InventoryMessage{Input: scheduler.DiscoveryFailed{}, Failed: true}, nil
	case *nodepb.Frame_Pong:
		if body.Pong.Token == 0 {
			return InventoryMessage{}, nil
		}
		return InventoryMessage{Input: scheduler.DiscoverySynced{Token: body.Pong.Token}}, nil
	case *nodepb.Frame_Bye:
		return InventoryMessage{}, &ByeError{Peer: inventoryPeer, Reason: body.Bye.Reason}
	default:
		return InventoryMessage{}, newProtocolError(inventoryPeer, frame, "the inventory does not send this frame")
	}
}

// collectListing adds a frame to the current listing, and reports whether it is the last frame. The first frame of a listing
// determines whether the listing is complete.
func (d *InventoryDecoder) collectListing(listing *nodepb.Listing) (last bool) {
	if !d.moreExpected {
		d.entries, d.complete = nil, listing.Whole
	}
	d.entries = append(d.entries, listing.Entries...)
	d.moreExpected = listing.More
	return !d.moreExpected
}

// decodeListing translates the entries of all frames of a listing.
func decodeListing(config *settings.Scheduler, entries []*nodepb.Entry, complete bool) InventoryMessage {
	update, addresses := scheduler.NodesUpdated{Complete: complete}, make(map[string]string, len(entries))
	for _, entry := range entries {
		addresses[entry.Node] = entry.Address
		update.Machines = append(update.Machines, decodeEntry(config, entry))
	}
	return InventoryMessage{Input: update, Addresses: addresses}
}
