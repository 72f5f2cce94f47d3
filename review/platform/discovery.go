package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Target is one entry of discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// Discovery is the agent on a router's machine.
type Discovery struct {
	// Addr is its address.
	Addr string

	run     *Run
	mu      sync.Mutex
	rev     int
	targets []Target
	changes []change
	changed chan struct{} // closed and replaced when something changes
	silent  bool
	told    map[string]time.Time // by id and state: when it was first written to a router
}

// change is one entry as of a version.
type change struct {
	rev    int
	target Target
}

// StartDiscovery starts an agent with a list.
func (r *Run) StartDiscovery(targets []Target) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), run: r, rev: 1, targets: targets, changed: make(chan struct{}), told: map[string]time.Time{}}
	server := &http.Server{Handler: d, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }() // ends with Close
	r.atEnd(func() { _ = server.Close() })
	return d, nil
}

// SetState changes the state of an entry.
func (d *Discovery) SetState(uid, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.targets {
		if d.targets[i].UID == uid {
			d.rev++
			d.targets[i].State = state
			d.changes = append(d.changes, change{d.rev, d.targets[i]})
			d.run.Note("discovery", "version %d: %s is %s", d.rev, uid, state)
		}
	}
	d.wake()
}

// SetSilent has the agent answer nothing, as while discovery is down, or answer again.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.run.Note("discovery", "silent: %v", silent)
	d.wake()
}

// wake has all calls look again. d.mu must be held.
func (d *Discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// ToldAt returns when a state was first written to a router; the zero time if it was not.
func (d *Discovery) ToldAt(uid, state string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[uid+" "+state]
}

// ServeHTTP answers one call: the whole list, or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, call *http.Request) {
	index, err := strconv.Atoi(call.FormValue("index"))
	isWatch := err == nil
	wait, _ := strconv.Atoi(call.FormValue("wait")) // 0 where there is none
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	isOver := !isWatch
	for {
		body, told, changed := d.next(index, isWatch, isOver)
		if body != nil {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(body) // an error means that the router has gone
			d.run.Note("discovery", "%s answered: %s", call.URL.RequestURI(), told)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			isOver = true
		case <-call.Context().Done():
			return
		}
	}
}

// next returns the answer to a call; nil if it is not due. changed is closed when that may be different.
func (d *Discovery) next(index int, isWatch, isOver bool) (body []byte, told string, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.silent || isWatch && !isOver && index >= d.rev {
		return nil, "", d.changed
	}
	entries := d.targets
	if isWatch {
		entries = nil
		for _, c := range d.changes {
			if c.rev > index {
				entries = append(entries, c.target)
			}
		}
	}
	for _, t := range entries {
		key := t.UID + " " + t.State
		if d.told[key].IsZero() {
			d.told[key] = time.Now()
		}
		told += key + "; "
	}
	return listBody(d.rev, !isWatch, entries), told, nil
}

// listBody returns a list in discovery's form.
func listBody(rev int, all bool, targets []Target) []byte {
	if targets == nil {
		targets = []Target{}
	}
	body, _ := json.Marshal(map[string]any{"rev": rev, "all": all, "targets": targets}) // plain fields cannot fail
	return body
}
