// Command 3 plays case 3: at a planned restart a write of more than 64 KiB is not answered while the origin is silent.
package main

import (
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spurtrestle/review/standin"
)

const (
	deadline  = 6 * time.Second
	killAfter = 3*time.Second + 700*time.Millisecond // SIGKILL behind SIGTERM: the longest deadline, 3 s at most, and 0.7 s
	smallSize = 1_000
	bigSize   = 1 << 20
	slowFor   = 1200 * time.Millisecond // that the slow client needs for its value
	slowParts = 24
)

// run is one run of the case.
type run struct {
	*standin.Case
	router  *standin.Router
	silent  atomic.Bool // the origin answers nothing
	end     chan struct{}
	clients sync.WaitGroup
}

func main() {
	c := &run{Case: standin.New(os.Args[1]), end: make(chan struct{})}
	targets := c.StartServers("tromso-a", func(_ int, cmd standin.Command) { cmd.Serve("value of " + cmd.Key()) }, c.serveOrigin)
	c.router = c.StartRouter(standin.Config{MemoryMB: 192, Sockets: 256, Discovery: c.StartDiscovery(targets),
		Settings: standin.Settings(standin.Writes)})
	c.write("warm", smallSize, 1)
	c.clients.Wait()

	c.silent.Store(c.Trouble)
	c.Log("origin: silent from now on: %v", c.Trouble)
	c.write("small-before", smallSize, 1)
	c.write("big-before", bigSize, 1)
	c.write("big-slow", bigSize, slowParts)
	time.Sleep(300 * time.Millisecond)
	c.router.Signal(syscall.SIGTERM)
	kill := time.After(killAfter)
	time.Sleep(100 * time.Millisecond)
	c.write("small-behind", smallSize, 1)
	c.write("big-behind", bigSize, 1)
	select {
	case <-c.router.Exited:
	case <-kill:
		c.Log("platform: the router has not ended %v after SIGTERM", killAfter)
		c.router.Signal(syscall.SIGKILL)
	}
	c.clients.Wait()
	close(c.end)
	c.Finish()
}

func (c *run) serveOrigin(w http.ResponseWriter, request standin.OriginRequest) {
	c.Log("origin: has got %s %s of request %s whole, %d bytes", request.Method, request.Key, request.ID, request.Size)
	if c.silent.Load() {
		<-c.end
		return
	}
	time.Sleep(100 * time.Millisecond)
	_, _ = io.WriteString(w, "receipt of "+request.ID) // the router may have closed the connection
}

// write plays a client with one write, which it sends in so many parts. It has to get an answer, whatever that is.
func (c *run) write(id string, size, parts int) {
	client := c.Dial(c.router)
	c.clients.Add(1)
	go func() {
		defer c.clients.Done()
		text := standin.Set("key-"+id, id, "overlay", deadline, strings.Repeat("v", size))
		for i := range parts {
			if i > 0 {
				time.Sleep(slowFor / slowParts)
			}
			if _, err := io.WriteString(client, text[len(text)*i/parts:len(text)*(i+1)/parts]); err != nil {
				c.Fatal("client %s: can't send: %v", id, err)
			}
		}
		sent := time.Now()
		c.Log("client %s: sent whole", id)
		value, line, err := client.Answer()
		after := time.Since(sent).Seconds()
		if err != nil {
			c.Break("request %s: the connection ended after %.2f s without an answer: %v", id, after, err)
			return
		}
		c.Log("client %s: answered after %.2f s: %s %s", id, after, line, value)
	}()
}
