// Command 7 has an origin reset connections right behind the last byte of long writes that must not run twice. No such write may
// be refused as harmless.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"spurtrestle/review/platform"
)

const (
	valueBytes = 66000
	deadline   = 1500 * time.Millisecond
	// Each client sends a write at this pace, for a time: 300 a second in all.
	clients = 12
	pace    = 40 * time.Millisecond
	runFor  = 75 * time.Second
	// resetOne: the origin resets the connection of one write in so many.
	resetOne = 4
	// longest is how long a client waits for an answer before the case counts as not run.
	longest = 5 * time.Second
)

func main() { platform.Main(play) }

func play(r *platform.Run) error {
	o := &origin{run: r, taken: map[string]bool{}}
	listen, err := start(r, o)
	if err != nil {
		return err
	}
	if err := r.AwaitPong(listen, 10*time.Second); err != nil {
		return err
	}
	var all sync.WaitGroup
	writers := make([]writer, clients)
	for i := range writers {
		writers[i] = writer{run: r, origin: o, listen: listen, name: fmt.Sprintf("client-%d", i)}
		all.Go(writers[i].writeAll)
	}
	all.Wait()
	served, refused, failed := 0, 0, 0
	for i := range writers {
		if writers[i].err != nil {
			return fmt.Errorf("%s: %w", writers[i].name, writers[i].err)
		}
		served, refused, failed = served+writers[i].served, refused+writers[i].refused, failed+writers[i].failed
	}
	r.Note("judge", "%d served, %d refused, %d failed; the origin reset %d", served, refused, failed, o.resets)
	return nil
}

// start starts the stand-ins and a router.
func start(r *platform.Run, o *origin) (listen string, err error) {
	cache, err := r.StartCacheServer("s-1", time.Millisecond, 0)
	if err != nil {
		return "", err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go o.serve(conn.(*net.TCPConn))
		}
	}()
	targets := []platform.Target{cache.Target(), {UID: platform.OriginUID, Endpoint: ln.Addr().String(), Zone: "hobart", Kind: "origin", State: "active", Weight: 1}}
	discovery, err := r.StartDiscovery(targets)
	if err != nil {
		return "", err
	}
	if listen, err = platform.FreeAddress(); err != nil {
		return "", err
	}
	// The last class, usage-report, has the other effect.
	const free, singleShot = `"effect":"free","group":"all","late-value":0.5`, `"effect":"single_shot","group":"all","late-value":0.5`
	settings := strings.Replace(platform.Settings, free, singleShot, 1)
	config, err := r.WriteConfig(platform.RouterConfig{Listen: listen, Discovery: discovery.Addr, Known: targets, Settings: settings})
	if err != nil {
		return "", err
	}
	_, err = r.StartRouter("router", config)
	return listen, err
}

// origin is the store behind the cache servers. It answers each write at once.
type origin struct {
	run *platform.Run

	mu     sync.Mutex
	taken  map[string]bool // writes that have come in full, and so may have run
	resets int
}

// serve answers the requests of one connection, until it resets it.
func (o *origin) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 128<<10)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil || n != valueBytes {
			return // it has not come in full
		}
		id := request.Header.Get("X-Trace-Id")
		if o.take(id) {
			_ = conn.SetLinger(0) // closing resets the connection
			return
		}
		value := platform.ValueOf(id, 0)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value); err != nil {
			return
		}
	}
}

// take records a write that has come in full, and reports whether its connection is to be reset.
func (o *origin) take(id string) (reset bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.taken[id] = true
	reset = o.run.Trouble && len(o.taken)%resetOne == 0
	if reset {
		o.resets++
		o.run.Note(platform.OriginUID, "got %s in full and resets its connection", id)
	}
	return reset
}

func (o *origin) hasTaken(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.taken[id]
}

// writer is a client that sends one write after the other on its connection.
type writer struct {
	run    *platform.Run
	origin *origin
	listen string
	name   string

	served, refused, failed int
	err                     error
}

func (w *writer) writeAll() {
	var c *platform.Client
	if c, w.err = w.run.Connect(w.name, w.listen); w.err != nil {
		return
	}
	value := make([]byte, valueBytes)
	began := time.Now()
	for n := 0; w.err == nil && time.Since(began) < runFor; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * pace)))
		w.err = w.write(c, fmt.Sprintf("%s-%d", w.name, n), value)
	}
}

// write sends one write and checks its answer.
func (w *writer) write(c *platform.Client, id string, value []byte) error {
	if err := c.Send(platform.Set("k", id, "usage-report", deadline, value)); err != nil {
		return err
	}
	reply, err := c.Receive(longest)
	if err != nil {
		return err
	}
	switch {
	case reply.Kind == '$':
		w.served++
	case strings.HasPrefix(string(reply.Text), "BUSY"):
		w.refused++
		w.run.Note(w.name, "%s got -%s", id, reply.Text)
		if w.origin.hasTaken(id) {
			w.run.Broken("%s was refused as harmless, and the origin had got it in full", id)
		}
	default:
		w.failed++
	}
	return nil
}
