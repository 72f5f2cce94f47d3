package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spurtrestle/core/clock"
)

// modelDiscovery is a discovery server with its history. It restarts, and numbers its revisions anew.
type modelDiscovery struct {
	incarnation int
	revision    int
	states      map[string]string // of listed servers
	changedAt   map[string]int    // revision of the last change of a server
}

// told is a version of the list that discovery has told a process.
type told struct{ incarnation, revision int }

func (a told) isLaterThan(b told) bool {
	return a.incarnation > b.incarnation || a.incarnation == b.incarnation && a.revision > b.revision
}

// text returns the list as modelProcess.text does.
func (d *modelDiscovery) text() string {
	var all []string
	for uid, state := range d.states {
		all = append(all, uid+":"+state)
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// response returns the response to a call, and false for a watch without changes.
func (d *modelDiscovery) response(isWatch bool, revision int) (body []byte, ok bool) {
	if isWatch && revision == d.revision {
		return nil, false
	}
	var entries []string
	for uid, changedAt := range d.changedAt {
		state, listed := d.states[uid]
		if !listed {
			state = stateRemoved
		}
		if isWatch && changedAt > revision || !isWatch && listed {
			entries = append(entries, strings.Replace(entry(uid, ""), "active", state, 1))
		}
	}
	return responseBody(d.revision, !isWatch, entries...), true
}

// modelProcess is one of the two processes of a router.
type modelProcess struct {
	list     *EndpointList
	calling  bool
	call     Call
	isWatch  bool
	server   int      // incarnation of discovery that got the call
	answer   []byte   // on its way
	answered told     // what it tells
	received [][]byte // lists from the other process on their way
}

func (p *modelProcess) text() string {
	var all []string
	for uid, entry := range p.list.entries {
		all = append(all, fmt.Sprint(uid, ":", entry.State))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

// model is a router of two processes with one discovery server.
type model struct {
	t         *rapid.T
	now       clock.Time
	discovery modelDiscovery
	processes [2]*modelProcess
	latest    told            // the latest version that either process was told
	versions  map[told]string // the list of each version
	log       []string
}

func (m *model) note(format string, args ...any) {
	m.now++
	m.log = append(m.log, fmt.Sprintf("%d: ", m.now)+fmt.Sprintf(format, args...))
}

// change has discovery change the state of a server, with a new revision.
func (m *model) change(uid, state string) {
	d := &m.discovery
	d.revision++
	if d.changedAt[uid] = d.revision; state == stateRemoved {
		delete(d.states, uid)
	} else {
		d.states[uid] = state
	}
	m.versions[told{d.incarnation, d.revision}] = d.text()
	m.note("revision %d: %s is %s", d.revision, uid, state)
}

// restart has discovery start anew with the same list and other revisions. What it had written is received before.
func (m *model) restart(revision int) {
	for i := range m.processes {
		m.receiveAnswer(i)
	}
	d := &m.discovery
	d.incarnation, d.revision = d.incarnation+1, revision
	for uid := range d.changedAt {
		d.changedAt[uid] = revision
	}
	m.versions[told{d.incarnation, d.revision}] = d.text()
	m.note("discovery restarts with revision %d", revision)
}

func (m *model) beginCall(i int) {
	p := m.processes[i]
	if p.calling {
		return
	}
	if p.server != m.discovery.incarnation { // its connection has ended
		p.list.Invalidate()
	}
	m.note("process %d calls", i)
	path, _ := p.list.NextRequest(clock.Second)
	p.calling, p.isWatch, p.server = true, strings.Contains(path, "index="), m.discovery.incarnation
	p.call = p.list.BeginCall(agent, m.now)
}

// writeAnswer has discovery answer the call of a process. A call to an earlier incarnation is broken.
func (m *model) writeAnswer(i int) {
	p := m.processes[i]
	switch {
	case !p.calling || p.answer != nil:
	case p.server != m.discovery.incarnation:
		m.note("process %d: the call broke", i)
		p.calling = false
		p.list.Invalidate()
	default:
		if body, ok := m.discovery.response(p.isWatch, int(p.call.revision)); ok {
			p.answer, p.answered = body, told{m.discovery.incarnation, m.discovery.revision}
			m.note("process %d is answered with revision %d", i, m.discovery.revision)
		}
	}
}

func (m *model) receiveAnswer(i int) {
	p := m.processes[i]
	if p.answer == nil {
		return
	}
	m.note("process %d receives revision %d", i, p.answered.revision)
	p.call.AnsweredAt = m.now
	if _, err := p.list.Apply(p.call, p.answer); err != nil {
		m.note("process %d: %v", i, err)
		p.list.Invalidate()
	}
	if p.answered.isLaterThan(m.latest) {
		m.latest = p.answered
	}
	p.calling, p.answer = false, nil
	m.share(i)
}

// share sends the list of a process to the other one.
func (m *model) share(i int) {
	if shared, ok := m.processes[i].list.Share(); ok {
		other := m.processes[1-i]
		other.received = append(other.received, shared.Encode())
	}
}

func (m *model) receiveList(i int) {
	p := m.processes[i]
	if len(p.received) == 0 {
		return
	}
	m.note("process %d receives the other list", i)
	shared, err := DecodeShared(p.received[0], m.now)
	if err != nil {
		m.t.Fatal(err)
	}
	p.received = p.received[1:]
	p.list.Adopt(shared)
}

// Two processes with one discovery server, which restarts, is slow and answers only one of them: whatever comes first, both end with the
// latest list that either was told. Guards against every order of answers, watches and lists of the other process.
func TestShared_BothProcessesEndWithTheLatestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, versions: map[told]string{}, processes: [2]*modelProcess{{list: New()}, {list: New()}},
			discovery: modelDiscovery{incarnation: 1, revision: 10, states: map[string]string{}, changedAt: map[string]int{}}}
		for _, uid := range []string{"a", "b", "c"} {
			m.change(uid, "active")
		}
		m.beginCall(0) // the first process is told before the second one starts
		m.writeAnswer(0)
		m.receiveAnswer(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "process")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				m.beginCall(i)
			case 2, 3:
				m.writeAnswer(i)
			case 4, 5:
				m.receiveAnswer(i)
			case 6, 7:
				m.receiveList(i)
			case 8:
				m.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"), rapid.SampledFrom([]string{"active", "leaving", stateRemoved}).Draw(t, "state"))
			case 9:
				if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
					m.restart(rapid.IntRange(1, 30).Draw(t, "revision"))
				}
			}
		}
		for i := range m.processes {
			m.receiveAnswer(i)
		}
		for i := range m.processes {
			for len(m.processes[i].received) > 0 {
				m.receiveList(i)
			}
		}
		want := m.versions[m.latest]
		for i, p := range m.processes {
			if got := p.text(); got != want {
				t.Fatalf("process %d ends with %q, the latest list told is %q of %+v\n%s", i, got, want, m.latest, strings.Join(m.log, "\n"))
			}
		}
	})
}
