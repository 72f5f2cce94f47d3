// Command spurtrestle is the router on sockets.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"

	"spurtrestle/internal/config"
	"spurtrestle/internal/router"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "spurtrestle:", err)
		os.Exit(1)
	}
}

func run() error {
	// From the first moment on: a SIGHUP that comes early must not end the program. One that waits is as good as many.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(cfg.Limits.Memory)
	log := logrus.New()
	r, err := router.New(cfg, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				r.Print()
			} else {
				r.Drain()
			}
		}
	}()
	go func() {
		for range reload {
			if cfg, err := config.Reload(os.Getenv); err != nil {
				log.WithError(err).Error("the new configuration is not taken; the old one holds")
			} else {
				r.Reload(cfg.Discovery)
			}
		}
	}()
	if err := r.Run(); err != nil {
		return err
	}
	log.Info(r.Counters())
	if !r.Drained() {
		return fmt.Errorf("the loop ended by itself")
	}
	return nil
}
