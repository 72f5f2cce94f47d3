package scale

import (
	"time"

	"spurtrestle/internal/fleet"
	"spurtrestle/internal/scale/result"
)

// This file turns the counts at the beginning and end of a measurement into rates.

// workersUsed returns the CPU time that all workers used between two counts.
func workersUsed(before, after []reply) (used time.Duration) {
	for i := range after {
		used += after[i].Usage.CPU - before[i].Usage.CPU
	}
	return used
}

// rates computes the rates of the trial from two counts.
func (t *trial) rates(before, after []reply, span time.Duration) {
	t.out.Window = span.Seconds()
	each := float64(t.hollowRouters())
	was := totals(before)
	var sum, worst routerRate
	for router, now := range totals(after) {
		r := rateSince(was[router], now, span)
		sum = sum.plus(r)
		if r.bytes() > worst.bytes() {
			worst = r
		}
	}
	cpu := workersUsed(before, after)
	var memory int64
	for _, worker := range after {
		memory += worker.Usage.Memory
	}
	used := result.Usage{CPU: max(0, cpu.Seconds()/span.Seconds()/each-t.out.Harness.CPU), Memory: max(0, float64(memory)/each-t.out.Harness.Memory)}
	t.out.PerRouter, t.out.Busiest = sum.usage(each, used), worst.usage(1, used)
	t.out.Mechanisms = nil
	for m := range fleet.TrafficKinds {
		in, out := sum[m].received, sum[m].sent
		if in.messages+out.messages > 0 {
			t.out.Mechanisms = append(t.out.Mechanisms, result.Mechanism{Name: m.String(), Bytes: (in.bytes + out.bytes) / each,
				Messages: (in.messages + out.messages) / each})
		}
	}
}

// totals returns the counts by router, summed over all of its processes.
func totals(replies []reply) map[int]fleet.TrafficCounts {
	all := map[int]fleet.TrafficCounts{}
	for _, r := range replies {
		for _, c := range r.Counts {
			sum := all[c.Index]
			sum.Add(c.TrafficCounts)
			all[c.Index] = sum
		}
	}
	return all
}

// rate is in bytes and messages per second.
type rate struct{ bytes, messages float64 }

// routerRate is a router's traffic by mechanism.
type routerRate [fleet.TrafficKinds]struct{ sent, received rate }

// rateSince returns the rate of traffic between two counts.
func rateSince(was, now fleet.TrafficCounts, span time.Duration) (r routerRate) {
	of := func(now, was fleet.Count) rate {
		return rate{float64(now.Bytes-was.Bytes) / span.Seconds(), float64(now.Messages-was.Messages) / span.Seconds()}
	}
	for m := range r {
		r[m].sent, r[m].received = of(now.Sent[m], was.Sent[m]), of(now.Received[m], was.Received[m])
	}
	return r
}

func (r routerRate) plus(o routerRate) routerRate {
	for m := range r {
		r[m].sent = rate{r[m].sent.bytes + o[m].sent.bytes, r[m].sent.messages + o[m].sent.messages}
		r[m].received = rate{r[m].received.bytes + o[m].received.bytes, r[m].received.messages + o[m].received.messages}
	}
	return r
}

func (r routerRate) bytes() (sum float64) {
	for _, m := range r {
		sum += m.sent.bytes + m.received.bytes
	}
	return sum
}

// usage adds the mean traffic of one router to used, if the given number of routers have this traffic together.
func (r routerRate) usage(routers float64, used result.Usage) result.Usage {
	for _, m := range r {
		used.BytesIn += m.received.bytes / routers
		used.BytesOut += m.sent.bytes / routers
		used.MessagesIn += m.received.messages / routers
		used.MessagesOut += m.sent.messages / routers
	}
	return used
}
