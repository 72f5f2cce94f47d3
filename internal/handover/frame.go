package handover

import "golang.org/x/sys/unix"

// Kind is the type of a frame, its first byte on the wire.
type Kind byte

// The kinds of frames. Their letters are those of earlier releases.
const (
	Hello           Kind = 'H' // successor: begins the handover
	Listener        Kind = 'L' // predecessor: with the clients' listener
	OperatorState   Kind = 'I' // both: the operator state, at the beginning and after each change
	Snapshot        Kind = 'K' // predecessor: a snapshot of what it has learned
	Ready           Kind = 'R' // successor: new clients are its own from now on
	Client          Kind = 'C' // predecessor: with a client's connection; the body is what was read of it and not used
	LargeValue      Kind = 'V' // predecessor: with a client's and a server's connection, between which a value is in transit
	DescriptorCount Kind = 'S' // both: how many descriptors the sender has open, in decimal
	LeaseTransfer   Kind = 'P' // predecessor: its leases of the fleet's policy
)

// A frame is its kind, the length of the body (4 bytes, big endian), and the body. Descriptors go with the first bytes.
const (
	headerBytes    = 5
	maxDescriptors = 2
	descriptorSize = 4 // of a C int
)

// MaxBodyBytes bounds the body of a frame. The largest body is a snapshot, whose own bound is not higher.
const MaxBodyBytes = 8 << 20

// Frame is one message.
type Frame struct {
	Kind Kind
	Body []byte // at most MaxBodyBytes
	FDs  []int  // at most two; the receiver of a frame has to close them
}

// CloseDescriptors closes the descriptors of a received frame.
func (f *Frame) CloseDescriptors() {
	for _, fd := range f.FDs {
		unix.Close(fd)
	}
	f.FDs = nil
}
