package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/encoding/protowire"
)

// magic is the string that every file begins with.
const magic = "spurtrestle state"

// Sizes of the parts of a record that precede its payload.
const (
	kindAndLengthBytes = 5
	recordHeaderBytes  = 9 // kind, length and checksum
)

// recordKind is the type of a record.
type recordKind byte

// Kinds of records, as stored in the file.
const (
	kindHeader   recordKind = 1
	kindInstance recordKind = 2
	kindMethod   recordKind = 3
	kindServer   recordKind = 4
	kindKeys     recordKind = 5
	kindEnd      recordKind = 6
)

// Field numbers in the payloads. A latency takes four consecutive numbers, of which the first is listed.
const (
	fieldHeaderVersion protowire.Number = 1
	fieldHeaderRouter  protowire.Number = 2

	fieldInstanceCapturedAt   protowire.Number = 1
	fieldInstanceObservedFor  protowire.Number = 2
	fieldInstanceCacheLatency protowire.Number = 3
	fieldInstanceFirstRate    protowire.Number = 7 // see ratesOf

	fieldMethodName    protowire.Number = 1
	fieldMethodLatency protowire.Number = 2

	fieldServerUID                 protowire.Number = 1
	fieldServerStartedAt           protowire.Number = 2
	fieldServerLatency             protowire.Number = 3
	fieldServerAnswerRate          protowire.Number = 7
	fieldServerReportedServiceTime protowire.Number = 8
	fieldServerFailurePoints       protowire.Number = 9
	fieldServerEjected             protowire.Number = 10
	fieldServerConnectFailed       protowire.Number = 11
	fieldServerObservedAt          protowire.Number = 12
	fieldServerAttemptRate         protowire.Number = 13
	fieldServerReturnedAt          protowire.Number = 14 // not written by older releases, which skip it

	fieldEndChecksum protowire.Number = 1
)

// record is one decoded record, whose checksum has been verified.
type record struct {
	kind    recordKind
	payload []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record with its header to a file.
func appendRecord(file []byte, r record) []byte {
	start := len(file)
	file = append(file, byte(r.kind))
	file = binary.LittleEndian.AppendUint32(file, uint32(len(r.payload)))
	file = binary.LittleEndian.AppendUint32(file, recordChecksum(file[start:], r.payload))
	return append(file, r.payload...)
}

// recordChecksum returns the CRC-32C over the first header fields and the payload of a record.
func recordChecksum(kindAndLength, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(kindAndLength, castagnoli), castagnoli, payload)
}

// splitRecords verifies the checksums of a file and returns its records, without the end record.
func splitRecords(file []byte) ([]record, error) {
	if len(file) > MaxFileBytes {
		return nil, corruptf("size %d exceeds the maximum of %d bytes", len(file), MaxFileBytes)
	}
	if len(file) < len(magic) || string(file[:len(magic)]) != magic {
		return nil, corruptf("it does not begin as a state does")
	}
	var records []record
	for offset := len(magic); ; {
		next, err := recordAt(file, offset)
		if err != nil {
			return nil, err
		}
		end := offset + recordHeaderBytes + len(next.payload)
		if next.kind == kindEnd {
			return records, checkEnd(file, offset, end, next.payload)
		}
		records = append(records, next)
		offset = end
	}
}

// recordAt reads and verifies the record that begins at an offset.
func recordAt(file []byte, offset int) (record, error) {
	rest := file[offset:]
	if len(rest) < recordHeaderBytes {
		return record{}, corruptf("it ends within a record, at byte %d", offset)
	}
	length := int(binary.LittleEndian.Uint32(rest[1:]))
	if length > len(rest)-recordHeaderBytes {
		return record{}, corruptf("it ends within a record, at byte %d", offset)
	}
	payload := rest[recordHeaderBytes : recordHeaderBytes+length]
	want := binary.LittleEndian.Uint32(rest[kindAndLengthBytes:])
	if recordChecksum(rest[:kindAndLengthBytes], payload) != want {
		return record{}, corruptf("a checksum does not match, at byte %d", offset)
	}
	return record{recordKind(rest[0]), payload}, nil
}

// checkEnd verifies the end record, which occupies the bytes from offset to end: the checksum of the file before it, and that no
// bytes follow.
func checkEnd(file []byte, offset, end int, payload []byte) error {
	fields, err := parseFields(payload)
	if err != nil || fields.varint(fieldEndChecksum) != int64(crc32.Checksum(file[:offset], castagnoli)) {
		return corruptf("the checksum of the whole file does not match")
	}
	if end != len(file) {
		return corruptf("more stands behind its end, at byte %d", end)
	}
	return nil
}

// corruptf returns an error that wraps ErrCorrupt and adds a detail, which `cache-routerctl state verify` prints.
func corruptf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, args...))
}
