package corelimits

import (
	"testing"

	"flaxshelf.example/flaxshelf/internal/front/platformfront"
)

// The shares add up to the limit, and admission control retains at least the third of it for owners that the protocol requires.
func TestDivideDescriptors(t *testing.T) {
	for limit := 96; limit <= 1<<14; limit++ {
		b := DivideDescriptors(limit)
		if b.OwnerConnections+b.NodeLinks+reservedDescriptors != limit || 3*b.RetainedOwnerConnections < limit-reservedDescriptors ||
			b.RetainedOwnerConnections >= b.OwnerConnections {
			t.Fatalf("limit %d: got %+v, want shares that add up to the limit, and retained connections of at least a third of "+
				"what is not reserved and less than the owners' share", limit, b)
		}
	}
	if b := DivideDescriptors(32); b.RetainedOwnerConnections < 1 || b.NodeLinks < 1 || b.OwnerConnections+b.NodeLinks > 16 {
		t.Errorf("limit 32: got %+v, want at least one connection of each kind and at most 16 in total", b)
	}
}

// The limits follow those of the configuration: memory limits the adopted tasks that no node has confirmed, descriptors the
// connections.
func TestCoreConfigFollowsLimits(t *testing.T) {
	small := CoreConfig(&platformfront.Config{Limits: platformfront.Limits{MemoryMB: 32, Sockets: 256}})
	large := CoreConfig(&platformfront.Config{Limits: platformfront.Limits{MemoryMB: 192, Sockets: 1024}})
	if got, want := large.MaxUnconfirmedAdoptions, 6*small.MaxUnconfirmedAdoptions; got != want || small.MaxUnconfirmedAdoptions < 500 {
		t.Errorf("got %d and %d unconfirmed adoptions, want at least 500 and 6 times as many", small.MaxUnconfirmedAdoptions, got)
	}
	if got, want := large.MaxPendingBytes, 6*small.MaxPendingBytes; got != want || small.MaxPendingBytes < 1<<20 {
		t.Errorf("got %d and %d bytes of pending requests, want at least 1 MiB and 6 times as many", small.MaxPendingBytes, got)
	}
	if small.MaxLinks+small.Admission.MaxConnections > 256 || large.MaxLinks <= small.MaxLinks ||
		large.Admission.MaxConnections <= small.Admission.MaxConnections {
		t.Errorf("got %d and %d links, %d and %d connections, want more with more descriptors", small.MaxLinks, large.MaxLinks,
			small.Admission.MaxConnections, large.Admission.MaxConnections)
	}
}

// What the process holds for its peers takes less than half of the memory limit, with the adopted tasks, of up to 4 KiB each.
func TestDivideMemory(t *testing.T) {
	const adoptedTaskBytes = 4 << 10
	for limitMB := 16; limitMB <= 1<<10; limitMB++ {
		b := DivideMemory(limitMB)
		adopted := CoreConfig(&platformfront.Config{Limits: platformfront.Limits{MemoryMB: limitMB}}).MaxUnconfirmedAdoptions
		sum := b.PendingRequests + b.OwnerMessages + b.NodeMessages + b.PartialMessages + b.QueuedWrites + adopted*adoptedTaskBytes
		if limit := limitMB << 20; 2*sum > limit || b.OwnerMessages < 1<<20 {
			t.Fatalf("limit of %d MB: got %+v and %d adopted tasks, %d bytes in all, want at most half, and 1 MiB for owners' messages", limitMB, b,
				adopted, sum)
		}
	}
}
