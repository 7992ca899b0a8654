package nodefront

import (
	"flaxshelf.example/flaxshelf/internal/codec/nodeframe/nodepb"
	"flaxshelf.example/flaxshelf/internal/scheduler"
	"flaxshelf.example/flaxshelf/internal/settings"
)

// Inventory reads the frames of one connection to the inventory. One goroutine at a time may use it.
type Inventory struct {
	Set *settings.Scheduler

	entries  []*nodepb.Entry // of a listing that is split over several frames
	complete bool            // the listing has all nodes, not only changes
	partial  bool            // more frames of the listing are to come
}

// Input translates a frame; the input is nil if it means nothing to the core. A listing is one input, given with its
// last frame, and with it the addresses of its nodes by name. Failed is true for a call that the inventory reports as
// failed, on a connection that stays open. An error, a ProtocolError or ByeError, means that the connection is to be
// closed.
func (v *Inventory) Input(frame *nodepb.Frame) (input scheduler.Input, addresses map[string]string, failed bool, err error) {
	switch body := frame.Body.(type) {
	case *nodepb.Frame_Welcome:
		return nil, nil, false, nil
	case *nodepb.Frame_Listing:
		if !v.collectListing(body.Listing) {
			return nil, nil, false, nil
		}
		update, addresses := nodesUpdated(v.Set, v.entries, v.complete)
		v.entries = nil
		return update, addresses, false, nil
	case *nodepb.Frame_ListError:
		return scheduler.DiscoveryFailed{}, nil, true, nil
	case *nodepb.Frame_Pong:
		if body.Pong.Token == 0 {
			return nil, nil, false, nil
		}
		return scheduler.DiscoverySynced{Token: body.Pong.Token}, nil, false, nil
	case *nodepb.Frame_Bye:
		return nil, nil, false, &ByeError{Peer: inventoryName, Reason: body.Bye.Reason}
	default:
		return nil, nil, false, newProtocolError(inventoryName, frame, "no frame of the inventory")
	}
}

// collectListing adds a frame of a listing to those before it; it is true for the last one.
func (v *Inventory) collectListing(listing *nodepb.Listing) (last bool) {
	if !v.partial {
		v.entries, v.complete = nil, listing.Whole
	}
	v.entries = append(v.entries, listing.Entries...)
	v.partial = listing.More
	return !v.partial
}

// nodesUpdated translates the entries of a listing, and returns the addresses of its nodes by name.
func nodesUpdated(set *settings.Scheduler, entries []*nodepb.Entry,
	complete bool) (update scheduler.NodesUpdated, addresses map[string]string) {
	update, addresses = scheduler.NodesUpdated{Complete: complete}, make(map[string]string, len(entries))
	for _, entry := range entries {
		addresses[entry.Node] = entry.Address
		update.Machines = append(update.Machines, decodeEntry(set, entry))
	}
	return update, addresses
}
