package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/encoding/protowire"
)

const magic = "spurtrestle state"

// Sizes of a record's fixed part.
const (
	kindAndLengthBytes = 5
	recordHeaderBytes  = 9
)

type recordKind byte

// Numbers in the file.
const (
	kindHeader   recordKind = 1
	kindInstance recordKind = 2
	kindMethod   recordKind = 3
	kindServer   recordKind = 4
	kindKeys     recordKind = 5
	kindEnd      recordKind = 6
)

// Field numbers in the payloads. A latency is four fields, of which the first is named here.
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

	fieldEndChecksum protowire.Number = 1
)

type record struct {
	kind    recordKind
	payload []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(file []byte, r record) []byte {
	start := len(file)
	file = append(file, byte(r.kind))
	file = binary.LittleEndian.AppendUint32(file, uint32(len(r.payload)))
	file = binary.LittleEndian.AppendUint32(file, recordChecksum(file[start:], r.payload))
	return append(file, r.payload...)
}

func recordChecksum(kindAndLength, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(kindAndLength, castagnoli), castagnoli, payload)
}

// splitRecords verifies all checksums of a file and returns its records without the end record.
func splitRecords(file []byte) ([]record, error) {
	if len(file) > MaxFileBytes {
		return nil, corruptf("%d bytes are more than %d", len(file), MaxFileBytes)
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

// recordAt reads the record that begins at an offset.
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

// checkEnd verifies the end record that stands from offset to end: the checksum of the file before it, and that nothing
// follows it.
func checkEnd(file []byte, offset, end int, payload []byte) error {
	fields, err := parseFields(payload)
	if err != nil || fields.varint(fieldEndChecksum) != int64(crc32.Checksum(file[:offset], castagnoli)) {
		return corruptf("the checksum of the whole does not match")
	}
	if end != len(file) {
		return corruptf("more stands behind its end, at byte %d", end)
	}
	return nil
}

// corruptf returns an ErrCorrupt with a detail, which `cache-routerctl state verify` prints.
func corruptf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, args...))
}
