package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// workerProcess is the parent's handle of a worker.
type workerProcess struct {
	command  *exec.Cmd
	requests io.WriteCloser
	encode   *json.Encoder
	decode   *json.Decoder
	mu       sync.Mutex // held from a request to its reply
}

// workers are all processes of a trial.
type workers []*workerProcess

// startWorkers starts n workers. After an error none is left running.
func startWorkers(ctx context.Context, program []string, n int) (all workers, err error) {
	for range n {
		w, err := startWorker(ctx, program)
		if err != nil {
			all.end()
			return nil, err
		}
		all = append(all, w)
	}
	return all, nil
}

func startWorker(ctx context.Context, program []string) (*workerProcess, error) {
	c := exec.CommandContext(ctx, program[0], program[1:]...)
	c.Stderr = os.Stderr
	// A process group of its own keeps Ctrl-C from reaching the worker. Pdeathsig kills it when the parent exits for any reason.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	in, err := c.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("starting a worker: %w", err)
	}
	return &workerProcess{command: c, requests: in, encode: json.NewEncoder(in), decode: json.NewDecoder(bufio.NewReader(out))}, nil
}

// end kills all workers and waits until they have exited.
func (ws workers) end() {
	for _, w := range ws {
		_ = w.command.Process.Kill() // fails only if it has exited
	}
	for _, w := range ws {
		_ = w.command.Wait() // reports that it was killed
	}
}

// ask sends a request and waits for its reply.
func (w *workerProcess) ask(r request) (reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var answer reply
	if err := w.encode.Encode(r); err != nil {
		return answer, fmt.Errorf("a worker has ended: %w", err)
	}
	if err := w.decode.Decode(&answer); err != nil {
		return answer, fmt.Errorf("a worker has ended: %w", err)
	}
	if answer.Error != "" {
		return answer, errors.New(answer.Error)
	}
	return answer, nil
}

// askAll sends a request to each worker at the same time and waits for all replies.
func (ws workers) askAll(of func(worker int) request) ([]reply, error) {
	replies, failed := make([]reply, len(ws)), make([]error, len(ws))
	var wg sync.WaitGroup
	for i, w := range ws {
		wg.Go(func() { replies[i], failed[i] = w.ask(of(i)) })
	}
	wg.Wait()
	return replies, errors.Join(failed...)
}

// broadcast sends the same request to all workers and waits for their replies.
func (ws workers) broadcast(r request) ([]reply, error) {
	return ws.askAll(func(int) request { return r })
}
