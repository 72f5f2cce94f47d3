package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"spurtrestle/core/routing"
)

const (
	readBufferBytes = 1 << 20
	// listSlots is the number of endpoint lists that events can refer to at one time.
	listSlots = 16
	// maxServers bounds the length of an endpoint list, and maxPreallocated the entries that are allocated before they are read.
	maxServers      = 1 << 20
	maxPreallocated = 1024
)

// Reader reads batches of events. It keeps the endpoint lists and the settings that later events refer to.
type Reader struct {
	input    *bufio.Reader
	line     int
	lists    [listSlots]endpointList
	settings map[Instance]routing.Settings
}

// endpointList is an endpoint list that events refer to by its slot.
type endpointList struct {
	received  bool
	endpoints []routing.Endpoint
}

// NewReader returns a Reader of an input.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, readBufferBytes), settings: map[Instance]routing.Settings{}}
}

// Next returns the next batch, or io.EOF at the end of the input. Other errors name the line and the field.
func (r *Reader) Next() (Batch, error) {
	var batch Batch
	line, err := r.readLine()
	if errors.Is(err, io.EOF) {
		return batch, io.EOF
	}
	if err != nil {
		return batch, r.atLine(err)
	}
	if line.name != "mark" {
		return batch, r.atLine(fmt.Errorf("got %q, want mark", line.name))
	}
	batch.Now = line.seconds("time")
	batch.SequenceNumber = strconv.FormatUint(line.unsigned("batch", 1<<63), 10)
	for line.err == nil {
		line, err = r.readLine()
		if err != nil {
			return batch, r.atLine(fmt.Errorf("the batch ends before your_turn: %w", err))
		}
		if line.name == "your_turn" {
			return batch, nil
		}
		r.readEvent(line, &batch)
	}
	return batch, r.atLine(line.err)
}

// readLine reads the next line and its name. It returns io.EOF only at the end of the input, and io.ErrUnexpectedEOF for a
// line that is cut off.
func (r *Reader) readLine() (*fields, error) {
	text, err := r.input.ReadString('\n')
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

func (r *Reader) atLine(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// readEvent reads one event into the batch. Errors are left in line.err.
func (r *Reader) readEvent(line *fields, batch *Batch) {
	if line.name == "list" {
		r.readList(line)
		return
	}
	parse, known := eventParsers[line.name]
	if !known {
		line.err = fmt.Errorf("%q is not an event", line.name)
		return
	}
	instance := Instance(line.unsigned("router", 1<<31))
	event := parse(r, line, instance)
	if line.err == nil && event != nil {
		batch.Inputs = append(batch.Inputs, Input{instance, event})
	}
}

// readList reads an endpoint list, which has one line per server. Errors are left in line.err.
func (r *Reader) readList(line *fields) {
	slot := line.unsigned("slot", listSlots-1)
	count := line.unsigned("nodes-list", maxServers)
	if line.err != nil {
		return
	}
	endpoints := make([]routing.Endpoint, 0, min(count, maxPreallocated))
	for range count {
		server, err := r.readLine()
		if err != nil || server.name != "server" {
			line.err = fmt.Errorf("a server line of list %d is missing", slot)
			return
		}
		endpoints = append(endpoints, parseEndpoint(server))
		if server.err != nil {
			line.err = server.err
			return
		}
	}
	r.lists[slot] = endpointList{received: true, endpoints: endpoints}
}

func parseEndpoint(line *fields) routing.Endpoint {
	return routing.Endpoint{
		Server:    routing.ServerID(line.unsigned("server", math.MaxUint32)),
		Zone:      routing.Zone(line.optional("az")),
		Kind:      routing.Kind(line.optional("model")),
		Cell:      routing.Cell(line.number("pod")),
		State:     keyword(line, "phase", endpointStates),
		Weight:    line.number("weight"),
		StartedAt: line.seconds("started-at-s"),
	}
}
