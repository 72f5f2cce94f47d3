package cacheserver

import (
	"bytes"
	"fmt"
	"strconv"

	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/machine"
	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/resp"
)

// handleCommand handles a complete command of a router. firstByteAt is when its first byte was read.
func (s *Server) handleCommand(c *conn, words [][]byte, firstByteAt, now event.Micros) {
	if len(words) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, partitioned := s.partitioned[c.router]; partitioned || s.down || s.unreachable {
		return
	}
	replyPlain := func(text string) {
		cmd := &command{conn: c, truncateAt: -1}
		c.pending = append(c.pending, cmd)
		c.setReply(cmd, []byte(text), 0)
	}
	switch verb := string(bytes.ToUpper(words[0])); verb {
	case "CACHE.GET", "CACHE.SET":
		cmd, ok := parseCommand(words)
		if _, known := s.config.Methods[methodOf(cmd)]; !ok || !known {
			s.config.Log.Add(event.Event{Kind: event.ProtocolViolation, Server: s.UID, Router: c.router, Note: "a command no client sent"})
			replyPlain("-SYNTAX\r\n")
			return
		}
		cmd.conn, cmd.startedAt = c, now
		c.pending = append(c.pending, cmd)
		s.config.Log.AddAt(event.Event{At: now, Kind: event.AttemptReceived, Request: cmd.req, Server: s.UID, Router: c.router, Since: firstByteAt,
			Write: cmd.write, DeadlineSent: cmd.deadlineSent})
		s.submit(cmd, now)
	case "PING":
		if s.config.Settings.Probes {
			s.handleProbe(c, []byte("+PONG\r\n"), now)
			return
		}
		replyPlain("+PONG\r\n")
	case "CLIENT", "SELECT":
		replyPlain("+OK\r\n")
	case "INFO":
		if s.config.Settings.Probes {
			s.handleProbe(c, nil, now)
			return
		}
		replyPlain("-NOPERM\r\n")
	default:
		replyPlain("-ERR unknown command\r\n")
	}
}

// handleProbe queues the work of a probe. Its reply is text, or the current load report if text is nil.
func (s *Server) handleProbe(c *conn, text []byte, now event.Micros) {
	cmd := &command{conn: c, truncateAt: -1, probe: true, probeReply: text}
	c.pending = append(c.pending, cmd)
	cmd.job = &machine.Job{Work: max(1, s.config.Settings.ProbeWork.Micros())}
	if !s.machine.Submit(now, cmd.job) {
		c.setReply(cmd, []byte("-ERR busy\r\n"), 0)
		return
	}
	s.jobs[cmd.job] = cmd
	s.advance()
}

func methodOf(cmd *command) string {
	if cmd == nil {
		return ""
	}
	return cmd.method
}

var busyReply = []byte("-BUSY\r\n")

// submit queues a command on the machine or rejects it. The caller holds s.mu.
func (s *Server) submit(cmd *command, now event.Micros) {
	c, m := cmd.conn, s.config.Methods[cmd.method]
	if c.overLimit || s.draining && s.faults.graceOver {
		c.setReply(cmd, busyReply, event.Refused)
		return
	}
	work := float64(m.Work)
	if m.WorkDistribution == "exp" {
		work *= s.rand.ExpFloat64()
	}
	cmd.miss = !cmd.write && !s.config.ReadThrough && !s.store.Contains(cmd.key)
	if cmd.miss {
		work = float64(s.config.Settings.MissWork)
	}
	if !c.handshakeCharged { // models the cost of a handshake
		c.handshakeCharged = true
		work += float64(s.config.Settings.ConnectionWork)
	}
	s.lastJobID++
	cmd.job = &machine.Job{ID: s.lastJobID, Work: max(1, event.Micros(work))}
	accepted := s.machine.Submit(now, cmd.job)
	if s.machine.Collapsed() {
		s.collapse()
		return
	}
	if !accepted {
		c.setReply(cmd, busyReply, event.Refused)
		return
	}
	s.jobs[cmd.job] = cmd
	s.advance()
}

// collapse ends the server after an overload while it was cold. It stays down.
func (s *Server) collapse() {
	s.config.Log.Add(event.Event{Kind: event.ServerCollapsed, Server: s.UID, Router: event.NoRouter,
		Note: fmt.Sprintf("load above %v times its capacity for %v", s.config.Settings.CollapseMultiple, s.config.Settings.CollapseWindow)})
	s.down = true
	s.closeListeners()
	for c := range s.conns {
		c.reset()
	}
	s.timer.Stop()
}

// finish answers a command whose work is done. The caller holds s.mu.
func (s *Server) finish(cmd *command, now event.Micros) {
	s.smoothedLatency += (now - cmd.startedAt - s.smoothedLatency) / 8
	report := s.loadReport(now)
	if cmd.probe {
		if cmd.probeReply == nil {
			cmd.probeReply = resp.AppendBulk(nil, report)
		}
		cmd.conn.setReply(cmd, cmd.probeReply, 0)
		return
	}
	if cmd.miss {
		s.hitRate -= s.hitRate / 50
		s.config.OnMiss(cmd.req, s, s.machine.Cold(now))
		s.sendReply(cmd, nil, report, event.Miss)
		return
	}
	m := s.config.Methods[cmd.method]
	if cmd.write {
		group := map[string]string{"zone": "z " + s.Zone, "cell": "c " + strconv.Itoa(s.Cell)}[m.Group]
		if m.Effect != "deduplicated" || !s.config.Deduplicator.IsRepeat(group, cmd.req, now, m.Window.Micros()) {
			s.config.Log.Add(event.Event{Kind: event.EffectExecuted, Request: cmd.req, Server: s.UID, Router: cmd.conn.router})
		}
		s.store.Remove(cmd.key)
	} else {
		s.hitRate += (1 - s.hitRate) / 50
		s.store.Put(cmd.key)
	}
	s.sendReply(cmd, MakeValue(cmd.req, s.UID, cmd.size), report, event.Value)
}

// MakeValue returns the value or receipt of a server for one request. It starts with the request's id, so that clients
// can detect values that belong to another request.
func MakeValue(req event.RequestID, server event.Server, size int) []byte {
	v := append([]byte(req), ' ')
	v = append(append(v, server...), ' ')
	for len(v) < size {
		v = append(v, "abcdefghijklmnopqrstuvwxyz012345"[:min(32, size-len(v))]...)
	}
	return v
}

// IsValueFor reports whether a value was made for a request by MakeValue.
func IsValueFor(req event.RequestID, value []byte) bool {
	return len(value) > len(req) && string(value[:len(req)]) == string(req) && value[len(req)] == ' '
}

// sendReply encodes a reply and applies the faults that alter replies.
func (s *Server) sendReply(cmd *command, value, report []byte, reply event.Reply) {
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
	text, reply, cmd.truncateAt = s.faults.corrupt(s.rand, text, reply)
	cmd.duplicateDelay, cmd.isDuplicated = s.faults.duplicateDelay(s.rand)
	cmd.conn.setReply(cmd, text, reply)
}

// loadReport returns the load report, which is renewed once per report interval; nil if reports are off.
func (s *Server) loadReport(now event.Micros) []byte {
	if s.faults.badReports {
		return []byte("avg_ms==,,x;\x01" + strconv.Itoa(s.rand.IntN(1000)))
	}
	if len(s.config.Settings.ReportFields) == 0 {
		return nil
	}
	if s.report != nil && (s.faults.staleReports || now-s.reportedAt < s.config.Settings.ReportInterval.Micros()) {
		return s.report
	}
	running, waiting := s.machine.Load()
	s.report, s.reportedAt = nil, now
	for i, name := range s.config.Settings.ReportFields {
		if i > 0 {
			s.report = append(s.report, ',')
		}
		x := map[string]float64{"latency": float64(s.smoothedLatency) / 1e3, "queue": float64(waiting),
			"in_flight": float64(running + waiting), "busy": float64(running) / float64(s.config.Settings.Cores),
			"errors": s.errorRate, "hits": s.hitRate}[name]
		s.report = strconv.AppendFloat(append(s.report, scenario.LoadReportFields[name]+"="...), x, 'g', 6, 64)
	}
	return s.report
}
