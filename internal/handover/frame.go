package handover

import "golang.org/x/sys/unix"

// Kind is the type of a frame. It is the first byte on the wire.
type Kind byte

// The kinds of frames. Their letters must not change: processes of different releases exchange them.
const (
	Hello           Kind = 'H' // from the successor: starts the handover
	Listener        Kind = 'L' // from the predecessor: carries the clients' listener
	OperatorState   Kind = 'I' // from both: the operator state, at the start and after each change
	Snapshot        Kind = 'K' // from the predecessor: a snapshot of what it has learned
	Ready           Kind = 'R' // from the successor: it accepts all new clients from now on
	Client          Kind = 'C' // from the predecessor: carries a client's connection; the body is the input that was read and not processed
	LargeValue      Kind = 'V' // from the predecessor: carries a client's and a server's connection, between which a value is in transit
	DescriptorCount Kind = 'S' // from both: how many descriptors the sender has open, in decimal
	HeldMemory      Kind = 'M' // from both: how many bytes the sender holds for clients, in decimal; not sent by older releases
	RecentIDs       Kind = 'D' // from the predecessor, in answer to Ready and before any client: the ids of requests that may have run; not sent by older releases
	LeaseTransfer   Kind = 'P' // from the predecessor: its leases under the fleet's policy
	Endpoints       Kind = 'E' // from both: the endpoint list, from the predecessor at the start and from either after each change; not sent by older releases, which ignore it
)

// A frame on the wire is its kind, the length of the body (4 bytes, big endian), and the body. Descriptors are sent with the first
// bytes.
const (
	headerBytes    = 5
	maxDescriptors = 2
	descriptorSize = 4 // size of a C int
)

// MaxBodyBytes bounds the body of a frame. The largest body is a snapshot, and snapshot.MaxFileBytes is not higher.
const MaxBodyBytes = 8 << 20

// Frame is one message.
type Frame struct {
	Kind Kind
	Body []byte // at most MaxBodyBytes
	FDs  []int  // at most two; the receiver of a frame must close them
}

// CloseDescriptors closes the descriptors of a received frame.
func (f *Frame) CloseDescriptors() {
	for _, fd := range f.FDs {
		unix.Close(fd)
	}
	f.FDs = nil
}
