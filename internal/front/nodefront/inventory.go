package nodefront

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// InventoryDecoder decodes the frames of one connection to the inventory. It is not safe for concurrent use.
type InventoryDecoder struct {
	Settings *settings.Scheduler

	entries      []*nodepb.Entry // of a listing that is split over several frames
	complete     bool            // the listing has all nodes, not only changes
	moreExpected bool            // more frames of the listing follow
}

// InventoryMessage is the meaning of a frame of the inventory. Its zero value is that of a frame without one.
type InventoryMessage struct {
	Input     scheduler.Input   // nil if the core doesn't need the frame
	Addresses map[string]string // of the nodes in a listing, by name
	Failed    bool              // the inventory reports a failed call; the connection stays open
}

// Decode translates a frame. The frames of a listing are one input, returned for the last of them. The error is a *ProtocolError
// or *ByeError, after which the connection must be closed.
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
		return InventoryMessage{}, newProtocolError(inventoryPeer, frame, "no frame of the inventory")
	}
}

// collectListing adds a frame of a listing to those before it. It returns true for the last one.
func (d *InventoryDecoder) collectListing(listing *nodepb.Listing) (last bool) {
	if !d.moreExpected {
		d.entries, d.complete = nil, listing.Whole
	}
	d.entries = append(d.entries, listing.Entries...)
	d.moreExpected = listing.More
	return !d.moreExpected
}

// decodeListing translates the entries of a listing.
func decodeListing(config *settings.Scheduler, entries []*nodepb.Entry, complete bool) InventoryMessage {
	update, addresses := scheduler.NodesUpdated{Complete: complete}, make(map[string]string, len(entries))
	for _, entry := range entries {
		addresses[entry.Node] = entry.Address
		update.Machines = append(update.Machines, decodeEntry(config, entry))
	}
	return InventoryMessage{Input: update, Addresses: addresses}
}
