// Package trace reads and writes recorded traffic: a schedule of arrivals that another run can replay bit for bit.
//
// A file is a magic line with the version, a header, and blocks. Each block holds up to 4096 arrivals, packed by
// compress/flate, behind its lengths and the CRC32C of its packed bytes; a last block of no arrivals tells how many there were.
// What is cut off or damaged is reported with the offset of the block, together with all that stands before it.
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

// Version is that of the files written here. Older ones are read, newer ones refused.
const Version = 1

const (
	magic            = "spurtrestle-trace "
	arrivalsPerBlock = 4096
	maxBlockBytes    = 16 << 20 // of one block, packed or not: a damaged length must not ask for all memory
	maxNames         = 1 << 16
	maxTextBytes     = 1 << 10
)

// Names are the names that arrivals refer to by number.
type Names struct {
	Title                   string
	Sites, Methods, Tenants []string
}

// Damage is a file of which only the first part could be read.
type DamageError struct {
	Offset   int64 // of the first byte that is not trusted
	Arrivals int   // arrivals before it
	Reason   string
}

func (d DamageError) Error() string {
	return fmt.Sprintf("damaged at byte %d (%s); %d arrivals before it could be read", d.Offset, d.Reason, d.Arrivals)
}

// ErrNewer is a file of a later version.
var ErrNewerVersion = errors.New("the file was written by a newer version; read it with that one")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

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

// Write writes a whole trace.
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

// reader keeps the offset and refuses lengths over the bounds.
type reader struct {
	in         *bufio.Reader
	offset     int64
	blockStart int64 // where the block at hand begins
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
		return 0, nil, errors.New("a block's lengths are impossible")
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
		return 0, nil, errors.New("a block cannot be unpacked")
	}
	return n, plain, nil
}

// cursor walks a block and remembers that something was wrong.
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

func (c *cursor) unsigned(most uint64) uint64 {
	x, n := binary.Uvarint(c.rest)
	if c.invalid = c.invalid || n <= 0 || x > most; c.invalid {
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

// Read reads a trace. On Damage the arrivals before it are returned as well.
func Read(from io.Reader) (Names, []arrivals.Arrival, error) {
	r := &reader{in: bufio.NewReader(from)}
	var names Names
	line, err := r.in.ReadString('\n')
	r.offset = int64(len(line))
	version := 0
	if _, scan := fmt.Sscanf(line, magic+"%d\n", &version); err != nil || scan != nil || version < 1 {
		return names, nil, DamageError{0, 0, "it does not begin as a trace does"}
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
				return names, schedule, damage("more stands behind the end")
			}
			return names, schedule, nil
		}
		complete := schedule
		for range n {
			last += event.Micros(c.signed())
			a := arrivals.Arrival{At: last, Site: event.Site(c.signed()), Method: event.Method(c.signed()),
				Tenant: event.Tenant(c.signed()), Key: c.text(), Size: int(c.unsigned(1 << 30)),
				AbandonAfter: event.Micros(c.unsigned(1 << 50))}
			if c.invalid || int(a.Site) >= len(names.Sites) || a.Site < 0 || int(a.Method) >= len(names.Methods) || a.Method < 0 ||
				int(a.Tenant) >= len(names.Tenants) || a.Tenant < -1 {
				schedule = complete
				return names, schedule, damage("an arrival names what is not there")
			}
			schedule = append(schedule, a)
		}
	}
}
