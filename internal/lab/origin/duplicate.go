package origin

import (
	"math/rand/v2"
	"sync"
	"time"

	"spurtrestle/internal/lab/cacheserver"
)

// duplicates draws which responses are written a second time, and how much later.
type duplicates struct {
	mu    sync.Mutex
	rand  *rand.Rand
	share float64 // fraction of the responses
}

func (d *duplicates) setShare(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.share = share
}

func (d *duplicates) isActive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.share > 0
}

func (d *duplicates) draw() (delay time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.share == 0 || d.rand.Float64() >= d.share {
		return 0, false
	}
	return time.Duration(d.rand.Int64N(int64(cacheserver.MaxDuplicateDelay))), true
}

// Write writes a part of a response and keeps a copy for its duplicate.
func (c *conn) Write(part []byte) (int, error) {
	if c.duplicates.isActive() {
		c.response = append(c.response, part...)
	}
	return c.Conn.Write(part)
}

// finishResponse writes the response again later if that is drawn. Call it when the response has been written completely.
func (c *conn) finishResponse() {
	response := c.response
	c.response = nil
	delay, ok := c.duplicates.draw()
	if ok && len(response) > 0 {
		time.AfterFunc(delay, func() { _, _ = c.Conn.Write(response) }) // the connection may have ended
	}
}
