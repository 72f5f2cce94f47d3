package main

import (
	"bufio"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// floodWait is how long the clients of a flood wait for an answer.
const floodWait = 200 * time.Millisecond

// floodRecord counts what became of the commands of clients that send at full speed. They are counted as those of any client.
type floodRecord struct {
	answered atomic.Int64
	crossed  atomic.Int64
	excused  atomic.Bool // a process was killed without warning: what it had is lost to that
	mu       sync.Mutex
	lost     int
	late     int
	latest   time.Duration // by how much an answer passed the time from which it counts as lost
	oldest   time.Duration // time from the last byte of a lost command to the end of its connection
}

func (f *floodRecord) noteLost(age time.Duration, commands int) {
	if f.excused.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost += commands
	f.oldest = max(f.oldest, age)
}

func (f *floodRecord) noteLate(by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late++
	f.latest = max(f.latest, by)
}

// check fails the test if a command was lost.
func (f *floodRecord) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("the flood: %d answered, %d crossed an end, %d lost, %d late", f.answered.Load(), f.crossed.Load(), f.lost, f.late)
	if f.lost > 0 {
		t.Errorf("%d commands of the flood were lost, sent up to %v before their connection ended", f.lost, f.oldest)
	}
	if f.late > 0 {
		t.Errorf("%d answers to the flood came later than %v after their time, by up to %v more", f.late, lostAfter, f.latest)
	}
}

// floodConn matches the answers on one connection of a flood with the commands that were written.
type floodConn struct {
	record *floodRecord
	mu     sync.Mutex
	marks  []floodMark // of what was written and is not answered, in order
}

// floodMark is the time at which all commands up to a number had been written.
type floodMark struct {
	commands  int
	writtenAt time.Time
}

func (f *floodConn) noteWritten(commands int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last := len(f.marks) - 1; last < 0 || f.marks[last].commands < commands {
		f.marks = append(f.marks, floodMark{commands, time.Now()})
	}
}

// readAnswers reads until the connection ends. Answers that have come together have one time.
func (f *floodConn) readAnswers(conn *crowdConn, stop *atomic.Bool) {
	answered := 0
	now, previous := time.Time{}, time.Time{}
	for {
		mayWait := conn.in.Buffered() == 0
		if err := skipAnswer(conn.in); err != nil {
			if !stop.Load() {
				f.noteEnd(answered)
			}
			return
		}
		if mayWait {
			now = time.Now()
		}
		answered++
		f.record.answered.Add(1)
		f.mu.Lock()
		for len(f.marks) > 0 && f.marks[0].commands < answered {
			f.marks = f.marks[1:]
		}
		if len(f.marks) > 0 {
			due := f.marks[0].writtenAt.Add(floodWait)
			if afterPrevious := previous.Add(floodWait); afterPrevious.After(due) {
				due = afterPrevious
			}
			if late := now.Sub(due) - lostAfter; late > 0 {
				f.record.noteLate(late)
			}
		}
		f.mu.Unlock()
		previous = now
	}
}

// skipAnswer reads one answer without a copy of it, so that the test leaves the machine to the program.
func skipAnswer(in *bufio.Reader) error {
	line, err := in.ReadSlice('\n')
	if err == nil && line[0] == '$' {
		_, err = in.ReadSlice('\n')
	}
	return err
}

// noteEnd records that the connection ended: commands without an answer are lost but for those that crossed the end.
func (f *floodConn) noteEnd(answered int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, mark := range f.marks {
		commands := mark.commands - answered
		if commands <= 0 {
			continue
		}
		answered = mark.commands
		if age := time.Since(mark.writtenAt); age > crossingTime {
			f.record.noteLost(age, commands)
			continue
		}
		f.record.crossed.Add(int64(commands))
	}
}

// exchange sends one command on a connection of its own.
func (f *floodRecord) exchange(conn *crowdConn, command []byte) {
	_ = conn.SetDeadline(time.Now().Add(floodWait + 2*lostAfter))
	if _, err := conn.Write(command); err != nil {
		return
	}
	sent := time.Now()
	_, err := conn.readAnswer()
	taken := time.Since(sent)
	switch {
	case err != nil && taken > crossingTime:
		f.noteLost(taken, 1)
	case err != nil:
		f.crossed.Add(1)
	case taken > floodWait+lostAfter:
		f.noteLate(taken - floodWait - lostAfter)
	default:
		f.answered.Add(1)
	}
}
