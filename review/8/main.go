// Command 8 ends a router as planned while a client with several requests on its connection reads its answers slowly. What the
// router has taken and answered must reach the client.
package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"spurtrestle/review/platform"
)

const (
	work       = 2 * time.Millisecond // of a cache server for a read
	valueBytes = 60000
	depth      = 6 // requests out on the connection
	// The client reads slowly: 400 KB a second.
	readBytes = 16000
	readPause = 40 * time.Millisecond
	// signalAt is when the router is told to end, killAfter the time until SIGKILL, and lastSend when the client stops sending,
	// from the first request on.
	signalAt  = 2 * time.Second
	killAfter = (platform.LongestDeadline + 700) * time.Millisecond
	lastSend  = 6 * time.Second
)

func main() { platform.Main(play) }

func play(r *platform.Run) error {
	listen, router, servers, err := start(r)
	if err != nil {
		return err
	}
	if err := r.AwaitPong(listen, 10*time.Second); err != nil {
		return err
	}
	c, err := r.Connect("client", listen)
	if err != nil {
		return err
	}
	c.ReadBytes, c.ReadPause = readBytes, readPause
	killed := make(chan struct{})
	if r.Trouble {
		time.AfterFunc(signalAt, func() {
			_ = router.Signal(syscall.SIGTERM) // it runs
			time.Sleep(killAfter)
			router.Kill()
			close(killed)
		})
	}
	unanswered, err := exchange(r, c)
	if err != nil {
		return err
	}
	if r.Trouble {
		<-killed
	}
	judge(r, unanswered, servers)
	return nil
}

// start starts the stand-ins and a router.
func start(r *platform.Run) (listen string, router *platform.Process, servers []*platform.CacheServer, err error) {
	var targets []platform.Target
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		server, err := r.StartCacheServer(name, work, valueBytes)
		if err != nil {
			return "", nil, nil, err
		}
		servers, targets = append(servers, server), append(targets, server.Target())
	}
	origin, err := r.StartOrigin(work)
	if err != nil {
		return "", nil, nil, err
	}
	targets = append(targets, origin.Target())
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
	router, err = r.StartRouter("router", config)
	return listen, router, servers, err
}

// exchange sends a request each time that an answer has come whole, so that some are out at all times. It returns those that
// had no answer when the connection ended, or when the client had stopped sending and waited long enough.
func exchange(r *platform.Run, c *platform.Client) (unanswered []string, err error) {
	const longest = 3 * time.Second // for one answer, of which the last byte comes long after the first
	began := time.Now()
	var sendErr error
	for n := 0; ; {
		for sendErr == nil && len(unanswered) < depth && time.Since(began) < lastSend {
			id := fmt.Sprintf("r-%05d", n)
			sendErr = c.Send(platform.Get(fmt.Sprintf("k-%d", n%50), id, "usage-report", platform.LongestDeadline*time.Millisecond))
			r.Note("client", "sent %s: %v", id, sendErr)
			n++
			if sendErr == nil {
				unanswered = append(unanswered, id)
			}
		}
		if len(unanswered) == 0 {
			return nil, nil
		}
		reply, err := c.Receive(longest)
		if err != nil {
			r.Note("client", "the connection ended: %v", err)
			return unanswered, nil
		}
		id := unanswered[0]
		r.Note("client", "%s got %c%.24s, %d bytes", id, reply.Kind, reply.Text, len(reply.Text))
		if reply.Kind == '$' && !platform.IsValueFor(id, reply.Text) {
			return nil, errors.New("a value of another request came, which is another rule's matter")
		}
		unanswered = unanswered[1:]
	}
}

// judge looks for requests that have no answer although the router had read them: a cache server has got them.
func judge(r *platform.Run, unanswered []string, servers []*platform.CacheServer) {
	forwarded := map[string]string{}
	for _, server := range servers {
		for _, a := range server.Attempts() {
			forwarded[a.ID] = a.Server
		}
	}
	for _, id := range unanswered {
		if server := forwarded[id]; server != "" {
			r.Broken("%s was forwarded to %s, and its connection ended without the answer", id, server)
			continue
		}
		r.Note("judge", "%s was not read: the client sends it once more elsewhere", id)
	}
}
