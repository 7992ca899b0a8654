package platform

import (
	"fmt"
	"testing"
)

// The last maxReleasedTasks released tasks are recorded, each once. Older ones are discarded, oldest first.
func TestReleasedTasksDiscardOldest(t *testing.T) {
	var released releasedTasks
	task := func(n int) string { return fmt.Sprint(n) }
	released.add(task(0))
	for n := range maxReleasedTasks {
		released.add(task(n))
	}
	if !released.has(task(0)) || !released.has(task(maxReleasedTasks-1)) || released.has(task(maxReleasedTasks)) {
		t.Errorf("got tasks other than 0 to %d, want exactly those", maxReleasedTasks-1)
	}
	for n := maxReleasedTasks; n < maxReleasedTasks+3; n++ {
		released.add(task(n))
		if oldest := n - maxReleasedTasks; released.has(task(oldest)) || !released.has(task(oldest+1)) || !released.has(task(n)) {
			t.Errorf("after task %d: got task %d or not all later ones, want only the later ones", n, oldest)
		}
	}
	if len(released.ids) != maxReleasedTasks {
		t.Errorf("got %d tasks, want %d", len(released.ids), maxReleasedTasks)
	}
}
