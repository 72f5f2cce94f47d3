// Command 9 drains a router by the operators' call while a client sends at a steady pace on its connection,
// so that some requests are out at all times. At 4 s after the
// call, the connection must be closed, or have carried no request in the last 2 s.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"spurtrestle/review/platform"
)

const (
	work = 40 * time.Millisecond // of a cache server for a read
	pace = 10 * time.Millisecond // between two requests on the connection, whether or not answers have come
	// callAt is when the operator calls, and judgedAfter when the connection is judged, from the call on.
	callAt      = 3 * time.Second
	judgedAfter = 4 * time.Second
	// lastRequests is how long before that a request breaks the rule.
	lastRequests = 2 * time.Second
)

func main() { platform.Main(play) }

func play(r *platform.Run) error {
	listen, router, err := start(r)
	if err != nil {
		return err
	}
	if err := r.AwaitPong(listen, 10*time.Second); err != nil {
		return err
	}
	connection, err := r.Connect("client", listen)
	if err != nil {
		return err
	}
	c := &pipeliner{run: r, client: connection}
	go c.sendAll()
	go c.receiveAll()
	time.Sleep(callAt)
	if c.isOver() {
		return fmt.Errorf("the connection ended before the call: %v", c.err)
	}
	calledAt := time.Now()
	if r.Trouble {
		if status, text := router.Call(http.MethodPut, "/ops/drain/start", ""); status/100 != 2 {
			return fmt.Errorf("the drain was refused: %d %s", status, text)
		}
	}
	time.Sleep(time.Until(calledAt.Add(judgedAfter)))
	c.judge(calledAt)
	return nil
}

// start starts the stand-ins and a router.
func start(r *platform.Run) (listen string, router *platform.Process, err error) {
	var targets []platform.Target
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		server, err := r.StartCacheServer(name, work, 0)
		if err != nil {
			return "", nil, err
		}
		targets = append(targets, server.Target())
	}
	origin, err := r.StartOrigin(work)
	if err != nil {
		return "", nil, err
	}
	targets = append(targets, origin.Target())
	discovery, err := r.StartDiscovery(targets)
	if err != nil {
		return "", nil, err
	}
	if listen, err = platform.FreeAddress(); err != nil {
		return "", nil, err
	}
	config, err := r.WriteConfig(platform.RouterConfig{Listen: listen, Discovery: discovery.Addr, Known: targets, Settings: platform.Settings})
	if err != nil {
		return "", nil, err
	}
	router, err = r.StartRouter("router", config)
	return listen, router, err
}

// pipeliner sends requests on one connection at a steady pace, so that some are out at all times.
type pipeliner struct {
	run    *platform.Run
	client *platform.Client

	mu       sync.Mutex
	sent     int
	answered int
	lastSent time.Time
	err      error // why the connection ended
}

// sendAll sends a request each time until the connection ends.
func (p *pipeliner) sendAll() {
	for began := time.Now(); !p.isOver(); {
		time.Sleep(time.Until(began.Add(time.Duration(p.sent) * pace)))
		id := fmt.Sprintf("r-%06d", p.sent)
		err := p.client.Send(platform.Get(fmt.Sprintf("k-%d", p.sent%50), id, "field-history", 1500*time.Millisecond))
		p.run.Note("client", "sent %s: %v", id, err)
		p.mu.Lock()
		if err == nil {
			p.lastSent = time.Now()
		}
		p.sent++
		p.mu.Unlock()
		p.end(err)
	}
}

// receiveAll receives the answers until the connection ends.
func (p *pipeliner) receiveAll() {
	for !p.isOver() {
		reply, err := p.client.Receive(3 * time.Second)
		if err == nil {
			p.run.Note("client", "got %c%s", reply.Kind, reply.Text)
			p.mu.Lock()
			p.answered++
			p.mu.Unlock()
		}
		p.end(err)
	}
}

// end records that the connection has ended, if there is an error.
func (p *pipeliner) end(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && p.err == nil {
		p.err = err
		p.run.Note("client", "the connection ended: %v", err)
	}
}

func (p *pipeliner) isOver() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err != nil
}

// judge checks the connection at 4 s after the call.
func (p *pipeliner) judge(calledAt time.Time) {
	p.mu.Lock()
	sent, answered, lastSent, err := p.sent, p.answered, p.lastSent, p.err
	p.mu.Unlock()
	p.run.Note("judge", "%d sent, %d answered, the last one sent %v after the call, ended: %v", sent, answered, lastSent.Sub(calledAt), err)
	if p.run.Trouble && err == nil && time.Since(lastSent) < lastRequests {
		p.run.Broken("%v after the call the router still has a client's connection, whose last request came %v before",
			judgedAfter, time.Since(lastSent))
	}
}
