// Command 10 replaces the process of a router while discovery is down. A cache server began to drain before, and the router was
// told. It must get nothing new.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"spurtrestle/review/platform"
)

const (
	work = 5 * time.Millisecond
	// drainAt is when a cache server begins to drain, silentAt when discovery goes down, and replaceAt when the platform starts
	// the next process; all from the moment at which the router takes clients.
	drainAt   = 2 * time.Second
	silentAt  = 6 * time.Second
	replaceAt = 7 * time.Second
	// outage is how long discovery is down.
	outage = 8 * time.Second
	// readyWithin is the time in which the new process has to say yes, and killAfter the time from SIGTERM to SIGKILL.
	readyWithin = 6 * time.Second
	killAfter   = (platform.LongestDeadline + 700) * time.Millisecond
	endAt       = 18 * time.Second
	gap         = 10 * time.Millisecond // between requests
)

func main() { platform.Main(play) }

func play(r *platform.Run) error {
	servers, discovery, listen, config, err := start(r)
	if err != nil {
		return err
	}
	old, err := r.StartRouter("old", config)
	if err != nil {
		return err
	}
	if err := r.AwaitPong(listen, 10*time.Second); err != nil {
		return err
	}
	began := time.Now()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 2 {
		clients.Go(func() { sendAll(r, listen, fmt.Sprintf("client-%d", i), stop) })
	}
	time.Sleep(time.Until(began.Add(drainAt)))
	discovery.SetState(servers[0].Name, "leaving")
	time.Sleep(time.Until(began.Add(silentAt)))
	if discovery.ToldAt(servers[0].Name, "leaving").IsZero() {
		return fmt.Errorf("discovery could not tell the router that %s drains", servers[0].Name)
	}
	if r.Trouble {
		discovery.SetSilent(true)
		time.AfterFunc(outage, func() { discovery.SetSilent(false) })
	}
	time.Sleep(time.Until(began.Add(replaceAt)))
	if err := replace(r, old, config); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(endAt)))
	close(stop)
	clients.Wait()
	judge(r, servers, discovery)
	return nil
}

// start starts the stand-ins.
func start(r *platform.Run) (servers []*platform.CacheServer, discovery *platform.Discovery, listen, config string, err error) {
	var targets []platform.Target
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		server, err := r.StartCacheServer(name, work, 0)
		if err != nil {
			return nil, nil, "", "", err
		}
		servers, targets = append(servers, server), append(targets, server.Target())
	}
	origin, err := r.StartOrigin(work)
	if err != nil {
		return nil, nil, "", "", err
	}
	targets = append(targets, origin.Target())
	if listen, err = platform.FreeAddress(); err != nil {
		return nil, nil, "", "", err
	}
	known := append([]platform.Target(nil), targets...)
	if discovery, err = r.StartDiscovery(targets); err != nil {
		return nil, nil, "", "", err
	}
	config, err = r.WriteConfig(platform.RouterConfig{Listen: listen, Discovery: discovery.Addr, Known: known, Settings: platform.Settings})
	return servers, discovery, listen, config, err
}

// replace does as the platform does: it starts `run` once more, waits for its yes, and ends the old process.
func replace(r *platform.Run, old *platform.Process, config string) error {
	next, err := r.StartRouter("new", config)
	if err != nil {
		return err
	}
	if err := next.AwaitReady(readyWithin); err != nil {
		return err
	}
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.AfterFunc(killAfter, func() { old.Kill() })
	return nil
}

// sendAll sends one read after the other, each on an open connection, and opens a new one when the router has closed it.
func sendAll(r *platform.Run, listen, name string, stop chan struct{}) {
	var c *platform.Client
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		if c == nil {
			var err error
			if c, err = r.Connect(name, listen); err != nil {
				r.Note(name, "cannot connect: %v", err)
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%s-%05d", name, n)
		err := c.Send(platform.Get(fmt.Sprintf("k-%d", n%200), id, "field-history", 1500*time.Millisecond))
		if err == nil {
			_, err = c.Receive(2 * time.Second)
		}
		if err != nil {
			r.Note(name, "the connection ended at %s: %v", id, err)
			_ = c.Conn.Close()
			c = nil
		}
	}
}

// judge looks for new work at the draining cache server.
func judge(r *platform.Run, servers []*platform.CacheServer, discovery *platform.Discovery) {
	toldAt := discovery.ToldAt(servers[0].Name, "leaving")
	end := toldAt.Add(platform.DrainGrace * time.Millisecond)
	for _, server := range servers {
		r.Note("judge", "%s got %d attempts", server.Name, len(server.Attempts()))
	}
	for _, a := range servers[0].Attempts() {
		if a.FirstAt.After(end) {
			r.Broken("%s got %s %v after discovery had told the router that it drains", a.Server, a.ID, a.FirstAt.Sub(toldAt))
		}
	}
}
