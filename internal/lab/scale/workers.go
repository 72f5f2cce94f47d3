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

// workerProcess is a worker as its parent sees it.
type workerProcess struct {
	command  *exec.Cmd
	requests io.WriteCloser
	encode   *json.Encoder
	decode   *json.Decoder
	mu       sync.Mutex // a request and its reply
}

// workers are all processes of a trial.
type workers []*workerProcess

// startWorkers starts so many. None is left running after an error.
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
	// Its own group, so that Ctrl-C reaches the parent alone; and it ends with the parent, however that ends.
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
		return nil, fmt.Errorf("a worker: %w", err)
	}
	return &workerProcess{command: c, requests: in, encode: json.NewEncoder(in), decode: json.NewDecoder(bufio.NewReader(out))}, nil
}

// end kills all and waits until they have ended.
func (ws workers) end() {
	for _, w := range ws {
		_ = w.command.Process.Kill() // an error: it has ended
	}
	for _, w := range ws {
		_ = w.command.Wait() // it was killed
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

// askAll sends each worker a request at the same time.
func (ws workers) askAll(of func(worker int) request) ([]reply, error) {
	replies, failed := make([]reply, len(ws)), make([]error, len(ws))
	var wg sync.WaitGroup
	for i, w := range ws {
		wg.Go(func() { replies[i], failed[i] = w.ask(of(i)) })
	}
	wg.Wait()
	return replies, errors.Join(failed...)
}

func (ws workers) askAllTheSame(r request) ([]reply, error) {
	return ws.askAll(func(int) request { return r })
}
