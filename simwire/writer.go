package simwire

import (
	"fmt"
	"io"
	"strconv"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

// Writer collects the reply to a batch and writes it as one block.
type Writer struct {
	output io.Writer
	reply  []byte
}

// NewWriter returns a Writer to an output.
func NewWriter(output io.Writer) *Writer { return &Writer{output: output} }

// Add appends one decision of an instance to the reply.
func (w *Writer) Add(instance Instance, decision routing.Decision) {
	server := strconv.FormatUint(uint64(decision.Server), 10)
	request := string(decision.Request)
	switch decision.Action {
	case routing.Send:
		w.addLine("pass_on", instance, request, server, formatSeconds(decision.After))
	case routing.Reject:
		w.addLine("bounce", instance, request, formatSeconds(decision.After))
	case routing.Fail:
		w.addLine("report_failure", instance, request)
	case routing.Cancel:
		w.addLine("recall", instance, request, strconv.Itoa(int(decision.Attempt)))
	case routing.SetTimer:
		w.addLine("schedule", instance, formatSeconds(decision.After), strconv.FormatInt(int64(decision.Timer), 10))
	case routing.Subscribe:
		w.addLine("stream_changes", instance, "1")
	case routing.HealthCheck:
		w.addLine("probe", instance, server)
	case routing.CloseIdle:
		w.addLine("drop_conns", instance, server)
	}
}

func (w *Writer) addLine(name string, instance Instance, values ...string) {
	w.reply = append(w.reply, name...)
	w.reply = append(w.reply, ' ')
	w.reply = strconv.AppendInt(w.reply, int64(instance), 10)
	for _, value := range values {
		w.reply = append(w.reply, ' ')
		w.reply = append(w.reply, value...)
	}
	w.reply = append(w.reply, '\n')
}

// Send completes the reply to a batch with its sequence number and writes it.
func (w *Writer) Send(sequenceNumber string) error {
	w.reply = append(w.reply, "ready "...)
	w.reply = append(w.reply, sequenceNumber...)
	w.reply = append(w.reply, '\n')
	_, err := w.output.Write(w.reply)
	w.reply = w.reply[:0]
	if err != nil {
		return fmt.Errorf("writing the reply to batch %s: %w", sequenceNumber, err)
	}
	return nil
}

// formatSeconds formats a duration in seconds with six decimals.
func formatSeconds(d clock.Duration) string {
	return fmt.Sprintf("%d.%06d", d/clock.Second, d%clock.Second)
}
