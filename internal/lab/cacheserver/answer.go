package cacheserver

import (
	"bytes"
	"fmt"
	"strconv"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/machine"
	"spurtrestle/internal/resp"
)

// command takes one whole command of a router.
func (s *Server) command(k *conn, words [][]byte, since, now event.Micros) {
	if len(words) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, cut := s.cut[k.router]; cut || s.down || s.vanished {
		return
	}
	plain := func(text string) {
		c := &command{on: k, cut: -1}
		k.slots = append(k.slots, c)
		k.put(c, []byte(text), 0)
	}
	switch verb := string(bytes.ToUpper(words[0])); verb {
	case "CACHE.GET", "CACHE.SET":
		c, ok := parse(words)
		if _, known := s.fleet.Methods[methodOf(c)]; !ok || !known {
			s.fleet.Log.Add(event.Event{Kind: event.Odd, Server: s.UID, Router: k.router, Note: "a command no client sent"})
			plain("-SYNTAX\r\n")
			return
		}
		c.on, c.began = k, now
		k.slots = append(k.slots, c)
		s.fleet.Log.AddAt(event.Event{At: now, Kind: event.Begun, Req: c.req, Server: s.UID, Router: k.router, Since: since,
			Write: c.write, DeadlineSent: c.sent})
		s.take(c, now)
	case "PING":
		if s.fleet.Settings.Probes {
			s.probe(k, []byte("+PONG\r\n"), now)
			return
		}
		plain("+PONG\r\n")
	case "CLIENT", "SELECT":
		plain("+OK\r\n")
	case "INFO":
		if s.fleet.Settings.Probes {
			s.probe(k, nil, now)
			return
		}
		plain("-NOPERM\r\n")
	default:
		plain("-ERR unknown command\r\n")
	}
}

// probe answers behind the work that it costs: with a text, or the load report of that moment.
func (s *Server) probe(k *conn, text []byte, now event.Micros) {
	c := &command{on: k, cut: -1, probe: true, pong: text}
	k.slots = append(k.slots, c)
	c.job = &machine.Job{Work: max(1, s.fleet.Settings.ProbeWork.Micros())}
	if !s.machine.Take(now, c.job) {
		k.put(c, []byte("-ERR busy\r\n"), 0)
		return
	}
	s.jobs[c.job] = c
	s.turn()
}

func methodOf(c *command) string {
	if c == nil {
		return ""
	}
	return c.method
}

var busy = []byte("-BUSY\r\n")

// take puts a command on the machine, or turns it away.
func (s *Server) take(c *command, now event.Micros) {
	k, m := c.on, s.fleet.Methods[c.method]
	if k.full || s.draining && s.trouble.late {
		k.put(c, busy, event.TurnedAway)
		return
	}
	work := float64(m.Work)
	if m.WorkDistribution == "exp" {
		work *= s.rand.ExpFloat64()
	}
	c.missed = !c.write && !s.fleet.ReadThrough && !s.store.Has(c.key)
	if c.missed {
		work = float64(s.fleet.Settings.MissWork)
	}
	if !k.used { // a new connection costs the server, as a handshake does
		k.used = true
		work += float64(s.fleet.Settings.ConnectionWork)
	}
	s.ids++
	c.job = &machine.Job{ID: s.ids, Work: max(1, event.Micros(work))}
	took := s.machine.Take(now, c.job)
	if s.machine.Fallen() {
		s.fall()
		return
	}
	if !took {
		k.put(c, busy, event.TurnedAway)
		return
	}
	s.jobs[c.job] = c
	s.turn()
}

// fall: pushed over while cold, it stays down.
func (s *Server) fall() {
	s.fleet.Log.Add(event.Event{Kind: event.Fell, Server: s.UID, Router: event.Nobody,
		Note: fmt.Sprintf("asked over %v times what it could do, for %v", s.fleet.Settings.CollapseMultiple, s.fleet.Settings.CollapseWindow)})
	s.down = true
	s.closeListeners()
	for k := range s.conns {
		k.reset()
	}
	s.alarm.Stop()
}

// done answers a command whose work is over.
func (s *Server) done(c *command, now event.Micros) {
	s.took += (now - c.began - s.took) / 8
	report := s.load(now)
	if c.probe {
		if c.pong == nil {
			c.pong = resp.AppendBulk(nil, report)
		}
		c.on.put(c, c.pong, 0)
		return
	}
	if c.missed {
		s.hits -= s.hits / 50
		s.fleet.OnMiss(c.req, s, s.machine.Cold(now))
		s.send(c, nil, report, event.Miss)
		return
	}
	m := s.fleet.Methods[c.method]
	if c.write {
		group := map[string]string{"zone": "z " + s.Zone, "cell": "c " + strconv.Itoa(s.Cell)}[m.Group]
		if m.Effect != "deduplicated" || !s.fleet.Deduplicator.IsRepeat(group, c.req, now, m.Window.Micros()) {
			s.fleet.Log.Add(event.Event{Kind: event.Ran, Req: c.req, Server: s.UID, Router: c.on.router})
		}
		s.store.Drop(c.key)
	} else {
		s.hits += (1 - s.hits) / 50
		s.store.Put(c.key)
	}
	s.send(c, MakeValue(c.req, s.UID, c.size), report, event.Value)
}

// Made is the value or receipt that a server makes for one request.
func MakeValue(req event.Req, by event.Server, size int) []byte {
	v := append([]byte(req), ' ')
	v = append(append(v, by...), ' ')
	for len(v) < size {
		v = append(v, "abcdefghijklmnopqrstuvwxyz012345"[:min(32, size-len(v))]...)
	}
	return v
}

// MadeFor tells whether a value was made for a request.
func IsValueFor(req event.Req, value []byte) bool {
	return len(value) > len(req) && string(value[:len(req)]) == string(req) && value[len(req)] == ' '
}

// send writes an answer in the form of the protocol, spoilt where a fault says so.
func (s *Server) send(c *command, value, report []byte, reply event.Reply) {
	text := []byte("*3\r\n")
	if value == nil {
		text = append(text, "$-1\r\n"...)
	} else {
		text = resp.AppendBulk(text, value)
	}
	text = append(text, "$-1\r\n"...)
	if report == nil {
		text = append(text, "$-1\r\n"...)
	} else {
		text = resp.AppendBulk(text, report)
	}
	text, reply, c.cut = s.trouble.spoil(s.rand, text, reply)
	c.on.put(c, text, reply)
}

// load is the report, as old as the settings have it.
func (s *Server) load(now event.Micros) []byte {
	if s.trouble.badReports {
		return []byte("avg_ms==,,x;\x01" + strconv.Itoa(s.rand.IntN(1000)))
	}
	if len(s.fleet.Settings.ReportFields) == 0 {
		return nil
	}
	if s.report != nil && (s.trouble.staleReports || now-s.reported < s.fleet.Settings.ReportInterval.Micros()) {
		return s.report
	}
	running, waiting := s.machine.Load()
	s.report, s.reported = nil, now
	for i, name := range s.fleet.Settings.ReportFields {
		if i > 0 {
			s.report = append(s.report, ',')
		}
		x := map[string]float64{"latency": float64(s.took) / 1e3, "queue": float64(waiting),
			"in_flight": float64(running + waiting), "busy": float64(running) / float64(s.fleet.Settings.Cores),
			"errors": s.errors, "hits": s.hits}[name]
		s.report = strconv.AppendFloat(append(s.report, s.fleet.figure(name)+"="...), x, 'g', 6, 64)
	}
	return s.report
}
