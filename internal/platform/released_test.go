package platform

import (
	"fmt"
	"testing"
)

// The last maxReleasedTasks tasks are remembered, each once; older ones are forgotten in the order of their release.
func TestReleasedTasksForgetOldest(t *testing.T) {
	var released releasedTasks
	task := func(n int) string { return fmt.Sprint(n) }
	released.add(task(0))
	for n := range maxReleasedTasks {
		released.add(task(n))
	}
	if !released.has(task(0)) || !released.has(task(maxReleasedTasks-1)) || released.has(task(maxReleasedTasks)) {
		t.Error("a full memory does not hold exactly the tasks that were added")
	}
	for n := maxReleasedTasks; n < maxReleasedTasks+3; n++ {
		released.add(task(n))
		if oldest := n - maxReleasedTasks; released.has(task(oldest)) || !released.has(task(oldest+1)) || !released.has(task(n)) {
			t.Errorf("after task %d: task %d is remembered, or a later one is not", n, oldest)
		}
	}
	if len(released.ids) != maxReleasedTasks {
		t.Errorf("%d tasks are remembered", len(released.ids))
	}
}
