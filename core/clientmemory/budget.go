// Package clientmemory accounts for the memory that a router holds for its clients. It is pure: the router's event
// loop, which owns a Budget and all of its accounts, tells it what is held.
package clientmemory

import (
	"fmt"
	"strings"
)

// Kind says what memory is held for.
type Kind uint8

// The kinds of memory held for clients.
const (
	UnreadInput     Kind = iota // received from clients and not processed
	ReservedInput               // allocated for the rest of commands that have arrived in part
	Requests                    // of requests that are not finished
	ReservedAnswers             // for the answers of pipelined requests, until they arrive
	PendingAnswers              // answers that wait for an earlier one on their connection
	UnsentOutput                // answers that the kernel has not accepted yet
	LargeValues                 // buffers of large values in transit
	ServerInput                 // answers of which only a part has arrived
	ServerOutput                // parts of requests that a server has not accepted yet
	HandoverFrames              // clients and values on their way to the next process
	InputAllowance              // for what open connections may receive before anything can be done about it
	kindCount
)

var kindNames = [kindCount]string{
	UnreadInput:     "unread-input",
	ReservedInput:   "reserved-input",
	Requests:        "requests",
	ReservedAnswers: "reserved-answers",
	PendingAnswers:  "pending-answers",
	UnsentOutput:    "unsent-output",
	LargeValues:     "large-values",
	ServerOutput:    "server-output",
	HandoverFrames:  "handover-frames",
	ServerInput:     "server-input",
	InputAllowance:  "input-allowance",
}

// Kinds returns all kinds, in the order of their names in logs.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Usage is the number of bytes held, by kind.
type Usage [kindCount]int

// Total returns the sum of all kinds.
func (u Usage) Total() (total int) {
	for _, bytes := range u {
		total += bytes
	}
	return total
}

// String returns names and bytes.
func (u Usage) String() string {
	pairs := make([]string, kindCount)
	for kind, bytes := range u {
		pairs[kind] = fmt.Sprintf("%v=%d", Kind(kind), bytes)
	}
	return strings.Join(pairs, " ")
}

// Limits bounds what a router holds for its clients, in bytes.
type Limits struct {
	Pipelining    int // of all accounts, for commands behind others on their connection
	FirstCommands int // in addition, for commands that are first on their connection
	PerClient     int // of the account of one client, for commands behind others
}

// Total returns the most bytes that all accounts may hold together.
func (l Limits) Total() int { return l.Pipelining + l.FirstCommands }

// AtMost returns the limits, scaled down so that they come to no more than the given total.
func (l Limits) AtMost(total int) Limits {
	if l.Total() <= total {
		return l
	}
	l.Pipelining, l.FirstCommands = l.Pipelining*total/l.Total(), l.FirstCommands*total/l.Total()
	l.PerClient = min(l.PerClient, l.Pipelining)
	return l
}

// minShareDivisor gives the part of the limits that a process has in any case.
const minShareDivisor = 8

// Beside returns the limits of a process while another one, which takes on nothing new, holds some bytes. If it is not
// known how many, they are half of the limits.
func (l Limits) Beside(known bool, bytes int) Limits {
	if !known {
		bytes = l.Total() / 2
	}
	rest := max(l.Total()-bytes, l.Total()/minShareDivisor)
	return Limits{Pipelining: l.Pipelining * rest / l.Total(), FirstCommands: l.FirstCommands * rest / l.Total(), PerClient: l.PerClient}
}

// Budget is the sum of all accounts of a router.
type Budget struct {
	limits Limits
	usage  Usage
	total  int
	atPeak Usage
	peak   int // total of atPeak
}

// SetLimits sets the limits, also below what is held.
func (b *Budget) SetLimits(limits Limits) { b.limits = limits }

// Limit returns the most bytes that all accounts may hold together.
func (b *Budget) Limit() int { return b.limits.Total() }

// MayPipeline reports whether a client may have another command begun behind those that it has, for which need
// bytes are to be reserved. A client gets no more than is left to all others (a dynamic threshold): one that
// pipelines a lot leaves room for the others, however many there are.
func (b *Budget) MayPipeline(client *Account, need int) bool {
	share := client.total + need
	return share <= b.limits.PerClient && share <= b.limits.Pipelining-b.total-need
}

// MayReceive reports whether need bytes may be allocated for a command of which only a part has been received. Commands
// whose rest has not arrived at this machine get half of what may be received together: how long it takes is up to
// their clients.
func (b *Budget) MayReceive(need int, hasArrived func() bool) bool {
	limit := b.limits.Pipelining + b.limits.FirstCommands/2
	if b.total+need > limit {
		return false
	}
	return b.usage[UnreadInput]+b.usage[ReservedInput]+need <= limit/2 || hasArrived()
}

// MayRead reports whether need bytes may be read from a client of which nothing else is known yet.
func (b *Budget) MayRead(need int) bool { return b.total+need <= b.Limit() }

// readAheadDivisor gives the part of the limits up to which input may be read ahead.
const readAheadDivisor = 4

// MayReadAhead reports whether need bytes may be read from a client although nothing can be done about them yet. Input that is
// read ahead leaves most of the memory to others.
func (b *Budget) MayReadAhead(client *Account, need int) bool {
	return client.total+need <= b.limits.PerClient && b.total+need <= b.Limit()/readAheadDivisor
}

// MayBegin reports whether a command may be begun that is first on its connection. Nothing but its own answer can
// free memory for it, so it gets some that commands behind others do not.
func (b *Budget) MayBegin() bool { return b.total < b.Limit() }

// Usage returns the bytes held now, by kind.
func (b *Budget) Usage() Usage { return b.usage }

// Total returns the bytes held now.
func (b *Budget) Total() int { return b.total }

// Peak returns the usage at the time when the most was held.
func (b *Budget) Peak() Usage { return b.atPeak }

func (b *Budget) add(kind Kind, bytes int) {
	b.usage[kind] += bytes
	b.total += bytes
	if b.total > b.peak {
		b.peak = b.total
		b.atPeak = b.usage
	}
}

// Account is what one holder, such as a client's connection, holds of a budget.
type Account struct {
	budget *Budget
	usage  Usage
	total  int
}

// NewAccount returns an empty account.
func (b *Budget) NewAccount() Account { return Account{budget: b} }

// Add adds bytes, which may be negative, to what the account holds of a kind.
func (a *Account) Add(kind Kind, bytes int) {
	if bytes == 0 || a.budget == nil {
		return
	}
	a.usage[kind] += bytes
	a.total += bytes
	a.budget.add(kind, bytes)
}

// Set replaces what the account holds of a kind.
func (a *Account) Set(kind Kind, bytes int) { a.Add(kind, bytes-a.usage[kind]) }

// Total returns the bytes that the account holds.
func (a *Account) Total() int { return a.total }

// Release empties the account.
func (a *Account) Release() {
	for kind, bytes := range a.usage {
		a.Add(Kind(kind), -bytes)
	}
}
