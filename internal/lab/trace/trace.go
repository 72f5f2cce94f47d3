// Package trace reads and writes recorded traffic: a schedule of arrivals that another run can replay exactly. The lab
// commands of cache-routerctl use it.
//
// A file consists of a magic line with the version, a block with the names, and blocks of arrivals. Each block holds up to
// 4096 arrivals, compressed by compress/flate and preceded by its lengths and the CRC32C of its lengths and compressed
// bytes. A last block without arrivals has their total count. For a truncated or damaged file the reader reports the offset
// of the damaged block and returns all arrivals before it.
package trace

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"spurtrestle/internal/lab/arrivals"
	"spurtrestle/internal/lab/event"
)

// Version is the version of the files that Write writes. Read accepts older versions and rejects newer ones.
const Version = 1

const (
	magic            = "spurtrestle-trace "
	arrivalsPerBlock = 4096
	maxBlockBytes    = 16 << 20 // limit of a block, compressed or not, so that a damaged length cannot exhaust the memory
	maxNames         = 1 << 16
	maxTextBytes     = 1 << 10
)

// Names holds the names that arrivals refer to by index.
type Names struct {
	Title                   string
	Sites, Methods, Tenants []string
}

// DamageError reports a file of which only the first part could be read.
type DamageError struct {
	Offset   int64 // of the first byte that is not valid
	Arrivals int   // number of arrivals before it
	Reason   string
}

func (d DamageError) Error() string {
	return fmt.Sprintf("damaged at byte %d (%s); %d arrivals before it could be read", d.Offset, d.Reason, d.Arrivals)
}

// ErrNewerVersion is returned for a file of a newer version.
var ErrNewerVersion = errors.New("the file was written by a newer version; read it with that version")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// writeBlock compresses and writes a block of n arrivals.
func writeBlock(w io.Writer, n int, plain []byte) error {
	var compressed bytes.Buffer
	z, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return err
	}
	if _, err := z.Write(plain); err != nil {
		return err
	}
	if err := z.Close(); err != nil {
		return err
	}
	var header [16]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(n))
	binary.LittleEndian.PutUint32(header[4:], uint32(len(plain)))
	binary.LittleEndian.PutUint32(header[8:], uint32(compressed.Len()))
	binary.LittleEndian.PutUint32(header[12:], crc32.Update(crc32.Checksum(header[:12], castagnoli), castagnoli, compressed.Bytes()))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	_, err = w.Write(compressed.Bytes())
	return err
}

// Write writes a complete trace.
func Write(to io.Writer, names Names, schedule []arrivals.Arrival) error {
	w := bufio.NewWriter(to)
	fmt.Fprintf(w, "%s%d\n", magic, Version)
	header := appendText(nil, names.Title)
	for _, list := range [][]string{names.Sites, names.Methods, names.Tenants} {
		header = binary.AppendUvarint(header, uint64(len(list)))
		for _, name := range list {
			header = appendText(header, name)
		}
	}
	if err := writeBlock(w, 0, header); err != nil {
		return err
	}
	last := event.Micros(0)
	for from := 0; from < len(schedule); from += arrivalsPerBlock {
		block := schedule[from:min(from+arrivalsPerBlock, len(schedule))]
		var b []byte
		for _, a := range block {
			b = binary.AppendVarint(b, int64(a.At-last))
			last = a.At
			b = binary.AppendVarint(b, int64(a.Site))
			b = binary.AppendVarint(b, int64(a.Method))
			b = binary.AppendVarint(b, int64(a.Tenant))
			b = appendText(b, a.Key)
			b = binary.AppendUvarint(b, uint64(a.Size))
			b = binary.AppendUvarint(b, uint64(a.AbandonAfter))
		}
		if err := writeBlock(w, len(block), b); err != nil {
			return err
		}
	}
	if err := writeBlock(w, 0, binary.AppendUvarint(nil, uint64(len(schedule)))); err != nil {
		return err
	}
	return w.Flush()
}

// reader reads blocks, tracks the offset, and rejects lengths above the limits.
type reader struct {
	in         *bufio.Reader
	offset     int64
	blockStart int64 // offset of the current block
}

func (r *reader) readFull(n int) ([]byte, error) {
	b := make([]byte, n)
	got, err := io.ReadFull(r.in, b)
	r.offset += int64(got)
	return b, err
}

func (r *reader) readBlock() (n int, plain []byte, err error) {
	r.blockStart = r.offset
	header, err := r.readFull(16)
	if err != nil {
		return 0, nil, errors.New("the file ends within a block")
	}
	n = int(binary.LittleEndian.Uint32(header))
	size, compressed := binary.LittleEndian.Uint32(header[4:]), binary.LittleEndian.Uint32(header[8:])
	if n > arrivalsPerBlock || size > maxBlockBytes || compressed > maxBlockBytes {
		return 0, nil, errors.New("the lengths of a block are out of range")
	}
	body, err := r.readFull(int(compressed))
	if err != nil {
		return 0, nil, errors.New("the file ends within a block")
	}
	if crc32.Update(crc32.Checksum(header[:12], castagnoli), castagnoli, body) != binary.LittleEndian.Uint32(header[12:]) {
		return 0, nil, errors.New("a checksum does not match")
	}
	plain, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxBlockBytes))
	if err != nil || len(plain) != int(size) {
		return 0, nil, errors.New("a block cannot be decompressed")
	}
	return n, plain, nil
}

// cursor decodes the contents of a block. After an invalid value all further values are zero.
type cursor struct {
	rest    []byte
	invalid bool
}

func (c *cursor) signed() int64 {
	x, n := binary.Varint(c.rest)
	if c.invalid = c.invalid || n <= 0; c.invalid {
		return 0
	}
	c.rest = c.rest[n:]
	return x
}

func (c *cursor) unsigned(limit uint64) uint64 {
	x, n := binary.Uvarint(c.rest)
	if c.invalid = c.invalid || n <= 0 || x > limit; c.invalid {
		return 0
	}
	c.rest = c.rest[n:]
	return x
}

func (c *cursor) text() string {
	n := c.unsigned(maxTextBytes)
	if c.invalid = c.invalid || int(n) > len(c.rest); c.invalid {
		return ""
	}
	s := string(c.rest[:n])
	c.rest = c.rest[n:]
	return s
}

func (c *cursor) list() (out []string) {
	for range c.unsigned(maxNames) {
		if out = append(out, c.text()); c.invalid {
			return nil
		}
	}
	return out
}

// Read reads a trace. With a DamageError it returns the arrivals before the damage as well.
func Read(from io.Reader) (Names, []arrivals.Arrival, error) {
	r := &reader{in: bufio.NewReader(from)}
	var names Names
	line, err := r.in.ReadString('\n')
	r.offset = int64(len(line))
	version := 0
	if _, scan := fmt.Sscanf(line, magic+"%d\n", &version); err != nil || scan != nil || version < 1 {
		return names, nil, DamageError{0, 0, "the file does not begin with the magic line of a trace"}
	}
	if version > Version {
		return names, nil, ErrNewerVersion
	}
	var schedule []arrivals.Arrival
	damage := func(what string) error { return DamageError{r.blockStart, len(schedule), what} }
	_, header, err := r.readBlock()
	if err != nil {
		return names, nil, damage(err.Error())
	}
	c := &cursor{rest: header}
	names = Names{c.text(), c.list(), c.list(), c.list()}
	if c.invalid {
		return names, nil, damage("the names cannot be read")
	}
	last := event.Micros(0)
	for {
		n, plain, err := r.readBlock()
		if err != nil {
			return names, schedule, damage(err.Error())
		}
		c := &cursor{rest: plain}
		if n == 0 {
			if count := c.unsigned(1 << 40); c.invalid || int(count) != len(schedule) {
				return names, schedule, damage("the count does not match")
			}
			if _, err := r.in.ReadByte(); err == nil {
				r.blockStart = r.offset
				return names, schedule, damage("there is data after the end")
			}
			return names, schedule, nil
		}
		block, ok := c.arrivals(n, &last, names)
		if !ok {
			return names, schedule, damage("an arrival refers to a name that does not exist")
		}
		schedule = append(schedule, block...)
	}
}

// arrivals decodes n arrivals. last is the time of the previous arrival and is advanced. ok is false if a value is invalid
// or refers to a name that does not exist.
func (c *cursor) arrivals(n int, last *event.Micros, names Names) (block []arrivals.Arrival, ok bool) {
	for range n {
		*last += event.Micros(c.signed())
		a := arrivals.Arrival{At: *last, Site: event.Site(c.signed()), Method: event.Method(c.signed()),
			Tenant: event.Tenant(c.signed()), Key: c.text(), Size: int(c.unsigned(1 << 30)),
			AbandonAfter: event.Micros(c.unsigned(1 << 50))}
		if c.invalid || int(a.Site) >= len(names.Sites) || a.Site < 0 || int(a.Method) >= len(names.Methods) || a.Method < 0 ||
			int(a.Tenant) >= len(names.Tenants) || a.Tenant < -1 {
			return nil, false
		}
		block = append(block, a)
	}
	return block, true
}
