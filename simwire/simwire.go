// Package simwire reads and writes the bench's wire, slate-8695. The wire's names end here: what comes
// out are the inputs of package routing, and what goes in are its decisions.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/settings"
)

// Instance numbers a router hosted by this process.
type Instance int

// Launch is the input with which an instance starts; Shutdown ends it.
type (
	Launch struct {
		Seed     uint64
		Settings routing.Settings
	}
	Shutdown struct{}
)

// Input is one event for one instance: a routing.Event, a Launch or a Shutdown.
type Input struct {
	Instance Instance
	Event    any
}

// Batch is what happened at one clock time.
type Batch struct {
	Now    clock.Time
	Seq    string
	Inputs []Input
}

const listSlots = 16

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists [listSlots][]routing.Endpoint
	known [listSlots]bool
	told  map[Instance]routing.Settings
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), told: map[Instance]routing.Settings{}}
}

// fields walks the parts of one line and remembers the first that is malformed.
type fields struct {
	name string
	rest string
	more bool
	err  error
}

func (f *fields) fail(field, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %s: %s", f.name, field, why)
	}
}

func (f *fields) text(field string) string {
	if !f.more {
		f.fail(field, "is missing")
		return ""
	}
	part, rest, more := strings.Cut(f.rest, " ")
	f.rest, f.more = rest, more
	if part == "" {
		f.fail(field, "is empty")
	}
	return part
}

func (f *fields) optional(field string) string {
	if s := f.text(field); s != "-" {
		return s
	}
	return ""
}

func (f *fields) whole(field string, most uint64) uint64 {
	s := f.text(field)
	n, err := strconv.ParseUint(s, 10, 64)
	if f.err == nil && (err != nil || n > most) {
		f.fail(field, fmt.Sprintf("%q is not a whole number up to %d", s, most))
	}
	return n
}

func (f *fields) number(field string) float64 {
	s := f.optional(field)
	if s == "" {
		return 0
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
		f.fail(field, fmt.Sprintf("%q is not a number", s))
		return 0
	}
	return x
}

func (f *fields) seconds(field string) clock.Time {
	return settings.Micros(f.number(field))
}

func (f *fields) flag(field string) bool {
	s := f.optional(field)
	if s != "" && s != "0" && s != "1" {
		f.fail(field, fmt.Sprintf("%q is neither 0 nor 1", s))
	}
	return s == "1"
}

func (f *fields) row(field string) routing.Report {
	s := f.optional(field)
	if s == "" {
		return nil
	}
	var out routing.Report
	for part := range strings.SplitSeq(s, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if part == "-" {
			x, err = math.NaN(), nil
		}
		if err != nil {
			f.fail(field, fmt.Sprintf("%q is not a number", part))
			return nil
		}
		out = append(out, x)
	}
	return out
}

func word[T any](f *fields, field string, words map[string]T) T {
	s := f.text(field)
	v, ok := words[s]
	if !ok {
		f.fail(field, fmt.Sprintf("%q is not known", s))
	}
	return v
}

var (
	listKinds = map[string]routing.EndpointUpdateKind{"INCREMENTAL": routing.IncrementalUpdate, "FULL": routing.FullUpdate,
		"SAVED": routing.CachedUpdate, "FAILED": routing.FailedUpdate}
	states   = map[string]routing.EndpointState{"U": routing.Ready, "L": routing.Draining, "D": routing.Removed}
	statuses = map[string]routing.Status{"Ok": routing.OK, "Failed": routing.Failed,
		"QueueFull": routing.QueueFull, "TimedOut": routing.TimedOut, "ConnectError": routing.ConnectError,
		"ResetByPeer": routing.Reset, "Canceled": routing.Canceled, "Ignored": routing.NotSent,
		"Miss": routing.Miss}
)

// open reads the next line and its name; io.EOF only where a line is wholly absent.
func (r *Reader) open() (*fields, error) {
	text, err := r.in.ReadString('\n')
	if err == io.EOF && text != "" {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	r.line++
	text = strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r")
	name, rest, more := strings.Cut(text, " ")
	return &fields{name: name, rest: rest, more: more}, nil
}

func (r *Reader) wrong(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// Next returns the next batch; io.EOF at the end of the input.
func (r *Reader) Next() (Batch, error) {
	var b Batch
	f, err := r.open()
	if errors.Is(err, io.EOF) {
		return b, io.EOF
	}
	if err != nil {
		return b, r.wrong(err)
	}
	if f.name != "mark" {
		return b, r.wrong(fmt.Errorf("%q stands where mark is due", f.name))
	}
	b.Now = f.seconds("time")
	b.Seq = strconv.FormatUint(f.whole("batch", 1<<63), 10)
	for f.err == nil {
		if f, err = r.open(); err != nil {
			return b, r.wrong(fmt.Errorf("the batch ends before your_turn: %w", err))
		}
		if f.name == "your_turn" {
			break
		}
		r.event(f, &b)
	}
	if f.err != nil {
		return b, r.wrong(f.err)
	}
	return b, nil
}

func (r *Reader) event(f *fields, b *Batch) {
	if f.name == "list" {
		r.list(f)
		return
	}
	read, ok := events[f.name]
	if !ok {
		f.err = fmt.Errorf("%q is not an event", f.name)
		return
	}
	inst := Instance(f.whole("router", 1<<31))
	ev := read(r, f, inst)
	if f.err == nil && ev != nil {
		b.Inputs = append(b.Inputs, Input{inst, ev})
	}
}

var events = map[string]func(*Reader, *fields, Instance) any{
	"launch": func(r *Reader, f *fields, inst Instance) any {
		l := Launch{Seed: f.whole("salt", math.MaxUint64)}
		var err error
		if l.Settings, err = settings.Parse([]byte(f.rest)); err != nil {
			f.fail("profile-data", err.Error())
		}
		r.told[inst] = l.Settings
		return l
	},
	"members": func(r *Reader, f *fields, _ Instance) any {
		l := routing.EndpointsUpdated{Kind: word(f, "how", listKinds)}
		f.text("seq-no")
		if l.Kind == routing.FailedUpdate {
			l.Rejected = true // the wire does not tell why, and calls of many routers beyond what discovery can take are refused
			return l
		}
		slot := f.whole("slot", listSlots-1)
		if f.err == nil && !r.known[slot] {
			f.fail("slot", fmt.Sprintf("list %d was never sent", slot))
		}
		if f.err == nil {
			l.Endpoints = r.lists[slot]
		}
		return l
	},
	"demand": func(r *Reader, f *fields, inst Instance) any {
		q := routing.RequestArrived{Request: routing.RequestID(f.text("ticket"))}
		name := f.text("kind")
		methods := r.told[inst].Methods
		i := slices.IndexFunc(methods, func(m routing.MethodSettings) bool { return m.Name == name })
		if i < 0 {
			f.fail("kind", fmt.Sprintf("%q is no class of the settings", name))
		}
		q.Method = routing.Method(i)
		if q.Tenant = routing.Tenant(f.optional("team")); q.Tenant == "0" {
			q.Tenant = ""
		}
		q.Key = routing.Key(f.optional("partition-key"))
		q.ValidUntil = f.seconds("valid-until-s")
		f.number("hint-s")
		f.number("size")
		q.ClientRetry, q.Write = f.flag("resent"), f.flag("write")
		return q
	},
	"shutdown": func(_ *Reader, _ *fields, _ Instance) any { return Shutdown{} },
	"accepted": func(_ *Reader, f *fields, _ Instance) any {
		return routing.ResponseStarted{Request: routing.RequestID(f.text("ticket")), Attempt: routing.Attempt(f.whole("n", 1<<31))}
	},
	"elapsed": func(_ *Reader, f *fields, _ Instance) any {
		return routing.TimerFired{Timer: routing.TimerID(f.whole("ref", 1<<63-1))}
	},
	"message": func(_ *Reader, f *fields, _ Instance) any { // routers tell each other nothing
		f.text("sender")
		f.optional("contents")
		return nil
	},
	"expired": func(_ *Reader, f *fields, _ Instance) any {
		return routing.ClientDisconnected{Request: routing.RequestID(f.text("ticket"))}
	},
	"returned": func(_ *Reader, f *fields, _ Instance) any {
		o := routing.AttemptEnded{Request: routing.RequestID(f.text("ticket"))}
		f.number("detail")
		o.Server = routing.ServerID(f.whole("server", math.MaxUint32))
		o.Attempt = routing.Attempt(f.whole("n", 1<<31))
		o.Status = word(f, "code", statuses)
		o.Took = f.seconds("elapsed-s")
		o.Answered = f.flag("complete")
		o.Report = f.row("feedback")
		return o
	},
	"probe_result": func(_ *Reader, f *fields, _ Instance) any {
		p := routing.HealthChecked{Server: routing.ServerID(f.whole("server", math.MaxUint32))}
		p.Status = word(f, "code", statuses)
		p.Took = f.seconds("elapsed-s")
		p.Report = f.row("feedback")
		return p
	},
}

func (r *Reader) list(f *fields) {
	slot := f.whole("slot", listSlots-1)
	n := f.whole("nodes-list", 1<<20)
	if f.err != nil {
		return
	}
	entries := make([]routing.Endpoint, 0, min(n, 1024))
	for range n {
		e, err := r.open()
		if err != nil || e.name != "server" {
			f.err = fmt.Errorf("a server line of list %d is missing", slot)
			return
		}
		entries = append(entries, routing.Endpoint{
			Server:    routing.ServerID(e.whole("server", math.MaxUint32)),
			Zone:      routing.Zone(e.optional("az")),
			Kind:      routing.Kind(e.optional("model")),
			Cell:      routing.Cell(e.number("pod")),
			State:     word(e, "phase", states),
			Weight:    e.number("weight"),
			StartedAt: e.seconds("started-at-s"),
		})
		if f.err = e.err; f.err != nil {
			return
		}
	}
	r.lists[slot], r.known[slot] = entries, true
}

// Writer collects the reply to one batch.
type Writer struct {
	out io.Writer
	buf []byte
}

// NewWriter returns a Writer on out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Add puts one decision of an instance into the reply.
func (w *Writer) Add(inst Instance, d routing.Decision) {
	put := func(name string, parts ...string) {
		w.buf = append(w.buf, name...)
		w.buf = strconv.AppendInt(append(w.buf, ' '), int64(inst), 10)
		for _, p := range parts {
			w.buf = append(append(w.buf, ' '), p...)
		}
		w.buf = append(w.buf, '\n')
	}
	server := strconv.FormatUint(uint64(d.Server), 10)
	switch d.Action {
	case routing.Send:
		put("pass_on", string(d.Request), server, span(d.After))
	case routing.Reject:
		put("bounce", string(d.Request), span(d.After))
	case routing.Fail:
		put("report_failure", string(d.Request))
	case routing.Cancel:
		put("recall", string(d.Request), strconv.Itoa(int(d.Attempt)))
	case routing.SetTimer:
		put("schedule", span(d.After), strconv.FormatInt(int64(d.Timer), 10))
	case routing.Subscribe:
		put("stream_changes", "1")
	case routing.HealthCheck:
		put("probe", server)
	case routing.CloseIdle:
		put("drop_conns", server)
	}
}

// Send ends the reply to batch seq and writes it out.
func (w *Writer) Send(seq string) error {
	w.buf = append(append(append(w.buf, "ready "...), seq...), '\n')
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}

func span(t clock.Time) string {
	return fmt.Sprintf("%d.%06d", t/1e6, t%1e6)
}
