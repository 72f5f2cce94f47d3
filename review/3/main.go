// Command 3 plays case 3: answers that wait behind a slowly read value fill the router's memory until the platform kills it.
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
	memoryMB   = 192
	sockets    = 1024
	clients    = 260                   // fewer than a third of the descriptors
	apart      = 40 * time.Millisecond // between the arrivals of two clients
	bigBytes   = 4 << 20
	smallBytes = 60_000                 // under 64 KiB
	behind     = 16                     // reads that a client sends behind that of the big value
	readRate   = 500_000                // of the big value, in bytes a second
	deadline   = 900 * time.Millisecond // under 80% of both classes' deadlines
	sample     = 20 * time.Millisecond  // between two looks at the router's memory
	mebibyte   = 1 << 20
)

var big, small = []byte(strings.Repeat("b", bigBytes)), strings.Repeat("s", smallBytes)

func valueOf(key string) []byte {
	if strings.HasPrefix(key, "big") {
		return big
	}
	return []byte(key + small[len(key):])
}

// run is one run of the case.
type run struct {
	*standin.Case
	router                        *standin.Router
	killed                        atomic.Bool
	served, refused, failed, lost atomic.Int64
}

func main() {
	c := &run{Case: standin.New(os.Args[1])}
	targets := c.StartServers("hobart", func(_ int, cmd standin.Command) {
		time.Sleep(2 * time.Millisecond)
		cmd.ServeBytes(valueOf(cmd.Key()))
	}, standin.ServeFrom(func(key string) string { return string(valueOf(key)) }))
	c.router = c.StartRouter(standin.Config{MemoryMB: memoryMB, Sockets: sockets, Discovery: c.StartDiscovery(targets),
		Settings: standin.Settings(standin.Reads)})
	go c.watchMemory()
	var wg sync.WaitGroup
	for k := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(k) * apart)
			if !c.killed.Load() {
				c.lost.Add(int64(c.ask(k)))
			}
		}()
	}
	wg.Wait()
	c.Log("clients: %d served, %d refused, %d failed, %d without an answer", c.served.Load(), c.refused.Load(), c.failed.Load(), c.lost.Load())
	c.Finish()
}

// watchMemory is the platform, which kills a router that is over its limit of memory.
func (c *run) watchMemory() {
	for i := 0; ; i++ {
		memory := c.router.Memory()
		if i%25 == 0 {
			c.Log("platform: the router holds %.1f MiB of %d", float64(memory)/mebibyte, memoryMB)
		}
		if memory > memoryMB*mebibyte {
			c.killed.Store(true)
			c.Break("the router holds %.1f MiB, over its limit of %d: the platform kills it", float64(memory)/mebibyte, memoryMB)
			c.router.Signal(syscall.SIGKILL)
			return
		}
		time.Sleep(sample)
	}
}

// ask plays one client and returns how many of its reads got no answer. With the trouble the client sends all of its reads at once,
// without it the small ones once it has the big value.
func (c *run) ask(number int) (open int) {
	open = 1 + behind
	client := c.Dial(c.router)
	first := standin.Get(fmt.Sprint("big-", number), fmt.Sprint("b", number), "field-history", deadline)
	rest := ""
	for i := range behind {
		rest += standin.Get(smallKey(number, i), smallKey(number, i), "machine-status", deadline)
	}
	if c.Trouble {
		first += rest
	}
	_, _ = io.WriteString(client, first) // the answer tells if that failed
	if size, err := client.SlowAnswer(readRate); err != nil || size != bigBytes {
		c.Log("client %d: the big value: %d bytes, %v", number, size, err)
		return open
	}
	open--
	c.served.Add(1)
	if !c.Trouble {
		client = c.sendOn(client, rest)
	}
	for i := range behind {
		if !c.read(client, number, i) {
			return open
		}
		open--
	}
	return open
}

func smallKey(number, i int) string { return fmt.Sprint("k-", number, "-", i) }

// sendOn sends reads on a connection that may rest. If the router has closed it, they are sent once more on a new one.
func (c *run) sendOn(client *standin.Client, reads string) *standin.Client {
	_, _ = io.WriteString(client, reads)
	if client.Ended() && !c.killed.Load() {
		client = c.Dial(c.router)
		_, _ = io.WriteString(client, reads)
	}
	return client
}

// read reads one answer and reports whether it came.
func (c *run) read(client *standin.Client, number, i int) bool {
	value, line, err := client.Answer()
	switch {
	case err != nil:
		c.Log("client %d: the connection ended before answer %d: %v", number, i, err)
		return false
	case strings.HasPrefix(line, "-BUSY"):
		c.refused.Add(1)
	case !strings.HasPrefix(line, "$"):
		c.failed.Add(1)
	case value != string(valueOf(smallKey(number, i))):
		c.Log("client %d: answer %d has %d bytes that are not its value: not this case's rule", number, i, len(value))
	default:
		c.served.Add(1)
	}
	return true
}
