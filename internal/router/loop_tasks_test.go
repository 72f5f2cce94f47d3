package router

import "testing"

// TestTasks_LeaveTheLoopToItsSockets guards against tasks that queue tasks and keep the loop from its sockets, where there are no
// Unix sockets to wake it.
func TestTasks_LeaveTheLoopToItsSockets(t *testing.T) {
	l := newFakeLoop(t, originOnlyConfig())
	count := 0
	var queueAgain func()
	queueAgain = func() {
		count++
		l.r.runAsync(queueAgain)
	}
	l.r.runAsync(queueAgain)
	began := l.r.clock()
	l.r.runTasks()
	if taken := l.r.clock() - began; count == 0 || taken > 50*maxTaskTime {
		t.Errorf("%d tasks ran for %v, want some for about %v", count, toDuration(taken), toDuration(maxTaskTime))
	}
}
