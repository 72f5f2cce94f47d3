package sharelease

import "spurtrestle/core/clock"

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages. Holders send Request and Release, grantors Grant and Revoke. The values are sent over the wire.
const (
	Request Kind = iota + 1 // requests a lease of the grantor's portion; Stamp is the holder's time
	Grant                   // grants it for Duration from Stamp, which is the Stamp of the request
	Revoke                  // ends the lease; Stamp is the grantor's count of its messages
	Release                 // confirms that the holder does not use the portion; Stamp is that of the revocation
)

// Message is sent from a process of one slot to a process of another, as JSON under the names of the tags. A later Tick replaces
// a lost message.
type Message struct {
	Kind     Kind           `json:"Kind"`
	From     Slot           `json:"From"`
	To       Slot           `json:"To"`
	Grantor  Incarnation    `json:"Lender"`
	Holder   Incarnation    `json:"Borrower"`
	Stamp    int64          `json:"At"` // the sender's time or count, or the Stamp of the message that this one answers; see Kind
	Duration clock.Duration `json:"For"`
}

// requestedAt is when the holder sent the request, by the holder's clock. The message must be a Request or a Grant.
func (m Message) requestedAt() clock.Time { return clock.Time(m.Stamp) }

// sequence is the grantor's count of grants and revocations. The message must be a Revoke or a Release.
func (m Message) sequence() int64 { return m.Stamp }

// Recipient returns the incarnation that the message is for.
func (m Message) Recipient() Incarnation {
	if m.Kind == Request || m.Kind == Release {
		return m.Grantor
	}
	return m.Holder
}
