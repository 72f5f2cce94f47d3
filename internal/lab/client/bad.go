package client

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

// replyTimeout is how long a misbehaving client waits for the error or close that a router must answer with.
const replyTimeout = 3*time.Second + 50*time.Millisecond

// MalformedRequests are sent by misbehaving clients; a router must answer each with an error or a close.
var MalformedRequests = []string{
	"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	"*3\r\n$9\r\nCACHE.GET\r\n$-5\r\nabc\r\n",
	"*99999999999\r\n",
	"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$15\r\nc=unknown,d=100\r\n",
	"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$0\r\n\r\n$5\r\nd=100\r\n",
	"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$1\r\nj\r\n$9\r\nc=x,d=NaN\r\n",
	"*2\r\n$9\r\nCACHE.GET\r\n$900000000\r\n",
	"\x00\xff\xfe\r\n",
	"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n",
}

// RunMisbehaving runs the misbehaving clients of a fault against all routers and returns when all have ended.
func (lb *LoadBalancer) RunMisbehaving(ctx context.Context, fault scenario.Fault) {
	r := rand.New(rand.NewPCG(lb.seed, 9))
	step := max(time.Millisecond, fault.Duration.Micros().Duration()/time.Duration(max(1, fault.Count)))
	if fault.Kind == "mute" {
		step = time.Millisecond // all at once
	}
	var all sync.WaitGroup
	defer all.Wait()
	if fault.Kind == "crowd" {
		for i := range fault.Count {
			all.Go(func() { lb.holdIdleConnections(ctx, event.Router(i%len(lb.addrs)), fault.Duration.Micros().Duration()) })
		}
		return
	}
	for i := range fault.Count {
		router := event.Router(i % len(lb.addrs))
		text := MalformedRequests[r.IntN(len(MalformedRequests))]
		all.Go(func() { lb.misbehave(ctx, fault.Kind, router, text, i) })
		select {
		case <-ctx.Done():
			return
		case <-time.After(step):
		}
	}
}

// misbehave connects to a router, sends what the kind of fault requires, and records an answer that is not allowed.
func (lb *LoadBalancer) misbehave(ctx context.Context, kind string, router event.Router, text string, index int) {
	c, err := net.DialTimeout("tcp", lb.addrs[router], time.Second)
	if err != nil {
		return // refusing the connection is a valid response
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if kind == "flood" {
		text = floodCommands(index)
	}
	if kind != "mute" {
		_ = c.SetWriteDeadline(time.Now().Add(replyTimeout)) // an error shows in Write
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(replyTimeout)) // an error shows in Read
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	problem := ""
	switch {
	case n > 0 && buf[0] == '$' && kind == "rubbish":
		problem = fmt.Sprintf("%.40q was served with a value", text)
	case n == 0 && err != nil && isTimeout(err) && kind != "mute" && ctx.Err() == nil:
		problem = fmt.Sprintf("%.40q got neither an error nor a close", text)
	}
	if problem != "" {
		lb.log.Add(event.Event{Kind: event.BadInputAccepted, Router: router, Note: problem})
	}
	for n > 0 && err == nil { // read until the router closes the connection
		_, err = c.Read(buf)
	}
}

// holdIdleConnections keeps an idle connection to a router open and replaces it whenever it is closed.
func (lb *LoadBalancer) holdIdleConnections(ctx context.Context, router event.Router, duration time.Duration) {
	const pause = 20 * time.Millisecond // limits the rate of dials to a router that is down
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	buf := make([]byte, 64)
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: time.Second}
		c, err := dialer.DialContext(ctx, "tcp", lb.addrs[router])
		if err == nil {
			stop := context.AfterFunc(ctx, func() { c.Close() })
			_, _ = c.Read(buf) // until either side closes it
			stop()
			c.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}

// floodCommands returns hundreds of commands that name no method of the service.
func floodCommands(n int) string {
	var b bytes.Buffer
	for i := range 400 {
		id := fmt.Sprintf("flood%d.%d", n, i)
		fmt.Fprintf(&b, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$14\r\nc=nothing,d=90\r\n", len(id), id)
	}
	return b.String()
}
