// Command 10 has clients leave while their read is out and a long write stands behind it. No attempt may begin for a client that
// has closed its connection more than 0.1 s before.
package main

import (
	"fmt"
	"time"

	"spurtrestle/review/platform"
)

const (
	// missAfter is when a cache server answers that it lacks the key; then the origin is next.
	missAfter  = 300 * time.Millisecond
	originWork = 20 * time.Millisecond
	// leaveAfter is when a client closes its connection, and stayFor when it does with TROUBLE=0; both from its first byte on.
	leaveAfter = 100 * time.Millisecond
	stayFor    = 2500 * time.Millisecond
	// lateAfter is when an attempt is a break, from the close on.
	lateAfter = 100 * time.Millisecond
	clients   = 5
	between   = 200 * time.Millisecond // between two clients
	deadline  = platform.LongestDeadline * time.Millisecond
	// writeBytes is the size of the write that stands behind the read.
	writeBytes = 1 << 20
)

func main() { platform.Main(play) }

func play(r *platform.Run) error {
	listen, origin, server, err := start(r)
	if err != nil {
		return err
	}
	if err := r.AwaitPong(listen, 10*time.Second); err != nil {
		return err
	}
	closedAt := map[string]time.Time{}
	for i := range clients {
		id := fmt.Sprintf("r-%d", i)
		at, err := leave(r, listen, i, id)
		if err != nil {
			return err
		}
		closedAt[id] = at
		time.Sleep(between)
	}
	time.Sleep(time.Second)
	for _, a := range append(server.Attempts(), origin.Attempts()...) {
		at, known := closedAt[a.ID]
		if known && a.FirstAt.Sub(at) > lateAfter {
			r.Broken("%s got %s %v after its client had closed its connection", a.Server, a.ID, a.FirstAt.Sub(at))
		}
	}
	return nil
}

// start starts the stand-ins and a router.
func start(r *platform.Run) (listen string, origin *platform.Origin, server *platform.CacheServer, err error) {
	if server, err = r.StartEmptyCacheServer("s-1", missAfter); err != nil {
		return "", nil, nil, err
	}
	if origin, err = r.StartOrigin(originWork); err != nil {
		return "", nil, nil, err
	}
	targets := []platform.Target{server.Target(), origin.Target()}
	discovery, err := r.StartDiscovery(targets)
	if err != nil {
		return "", nil, nil, err
	}
	if listen, err = platform.FreeAddress(); err != nil {
		return "", nil, nil, err
	}
	config, err := r.WriteConfig(platform.RouterConfig{Listen: listen, Discovery: discovery.Addr, Known: targets, Settings: platform.Settings})
	if err != nil {
		return "", nil, nil, err
	}
	_, err = r.StartRouter("router", config)
	return listen, origin, server, err
}

// leave has one client send a read and a long write at once, and close its connection. It returns when that was.
func leave(r *platform.Run, listen string, i int, id string) (closedAt time.Time, err error) {
	name := fmt.Sprintf("client-%d", i)
	c, err := r.Connect(name, listen)
	if err != nil {
		return closedAt, err
	}
	began := time.Now()
	text := platform.Get(fmt.Sprintf("k-%d", i), id, "usage-report", deadline)
	text = append(text, platform.Set("k-w", fmt.Sprintf("w-%d", i), "usage-report", deadline, make([]byte, writeBytes))...)
	go func() {
		err := c.Send(text)
		r.Note(name, "sent %s and a write of %d bytes: %v", id, writeBytes, err)
	}()
	stay := stayFor
	if r.Trouble {
		stay = leaveAfter
	}
	time.Sleep(time.Until(began.Add(stay)))
	closedAt = time.Now()
	err = c.Conn.Close()
	r.Note(name, "closed its connection: %v", err)
	return closedAt, err
}
