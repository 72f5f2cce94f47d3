// Command 3 plays case 3: at a planned restart the router closes a client's connection while the system still holds answers for it,
// and the client's next read resets them away.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"spurtrestle/review/standin"
)

const (
	clients    = 5
	reads      = 16                    // that a client sends at once
	valueBytes = 60_000                // under 64 KiB
	pause      = 60 * time.Millisecond // a client reads an answer in that time: 1 MB/s
	deadline   = 6 * time.Second
	readsAt    = 350 * time.Millisecond // behind SIGTERM
	nextAt     = 700 * time.Millisecond // behind SIGTERM: the client's next read on the same connection
)

// run is one run of the case.
type run struct {
	*standin.Case
	router       *standin.Router
	servedByID   sync.Map // ids of the reads that a cache server has served
	served, lost atomic.Int64
}

func main() {
	c := &run{Case: standin.New(os.Args[1])}
	value := strings.Repeat("v", valueBytes)
	targets := c.StartServers("tromso-a", func(_ int, cmd standin.Command) {
		time.Sleep(20 * time.Millisecond)
		cmd.Serve(value)
		c.servedByID.Store(cmd.ID(), true)
	}, standin.ServeFrom(func(string) string { return value }))
	c.router = c.StartRouter(standin.Config{MemoryMB: 192, Sockets: 512, Discovery: c.StartDiscovery(targets),
		Settings: standin.Settings(standin.Writes)})
	term := time.Now().Add(200 * time.Millisecond)
	var wg sync.WaitGroup
	for k := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.play(k, term)
		}()
	}
	time.Sleep(time.Until(term))
	if c.Trouble {
		c.router.Signal(syscall.SIGTERM)
	}
	wg.Wait()
	c.Log("clients: %d reads answered, %d taken and not answered", c.served.Load(), c.lost.Load())
	if c.lost.Load() > 0 {
		c.Break("%d reads that cache servers had served for the router got no whole answer", c.lost.Load())
	}
	c.Finish()
}

// play plays one client, whose connection is open when the router is told to end.
func (c *run) play(number int, term time.Time) {
	client := c.Dial(c.router)
	if err := client.LimitBuffer(64 << 10); err != nil {
		c.Fatal("%v", err)
	}
	id := func(i int) string { return fmt.Sprint("r-", number, "-", i) }
	send := func(i int) string { return standin.Get(id(i), id(i), "overlay", deadline) }
	_, _ = io.WriteString(client, send(-1)) // the answer tells if that failed
	if _, _, err := client.Answer(); err != nil {
		c.Fatal("%v", err)
	}
	time.Sleep(time.Until(term.Add(readsAt)))
	text := ""
	for i := range reads {
		text += send(i)
	}
	_, err := io.WriteString(client, text)
	c.Log("client %d: sent %d reads at once: %v", number, reads, err)
	next := time.AfterFunc(time.Until(term.Add(nextAt)), func() {
		_, err := io.WriteString(client, send(reads))
		c.Log("client %d: sent one more read: %v", number, err)
	})
	defer next.Stop()
	for i := range reads {
		_, line, err := client.Answer()
		if err != nil {
			c.Log("client %d: the connection ended %.2f s behind SIGTERM, before answer %d: %v", number, time.Since(term).Seconds(), i, err)
			for ; i < reads; i++ {
				if _, taken := c.servedByID.Load(id(i)); taken {
					c.lost.Add(1)
				}
			}
			return
		}
		if !strings.HasPrefix(line, "$") {
			c.Log("client %d: answer %d is %s", number, i, line)
		}
		c.served.Add(1)
		time.Sleep(pause)
	}
}
