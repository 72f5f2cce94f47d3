package program

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"spurtrestle/internal/config"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/settings"
)

// processSignals are the signals of a process from its first moment on: an early SIGHUP does not end it, and an early
// SIGTERM ends it gracefully once it serves. Each purpose has a channel and a goroutine of its own, so that no signal is
// lost or delayed behind others; one that waits stands for several of its purpose.
type processSignals struct {
	reload   chan os.Signal // SIGHUP
	end      chan os.Signal // SIGTERM and SIGINT
	counters chan os.Signal // SIGUSR1
}

func notifySignals() processSignals {
	s := processSignals{
		reload:   make(chan os.Signal, 1),
		end:      make(chan os.Signal, 1),
		counters: make(chan os.Signal, 1),
	}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.counters, syscall.SIGUSR1)
	return s
}

// handleSignals starts the goroutines that act on signals. They run until the process exits.
func (p *process) handleSignals(signals processSignals) {
	go p.handleEnd(signals.end)
	go p.handleReload(signals.reload)
	go p.handleCounters(signals.counters)
}

// handleEnd drains the router, and gRPC clients at the same time.
func (p *process) handleEnd(signals <-chan os.Signal) {
	for range signals {
		p.router.Drain()
		go p.stopFront()
	}
}

// handleCounters prints the counters.
func (p *process) handleCounters(signals <-chan os.Signal) {
	for range signals {
		p.router.LogCounters()
	}
}

// formerReloadRejected is the text of the log line in earlier releases, for one release more.
const formerReloadRejected = "the new configuration is not taken; the old one holds"

// handleReload reads the configuration again at each SIGHUP. Only the address of discovery takes effect without a
// restart.
func (p *process) handleReload(signals <-chan os.Signal) {
	for range signals {
		cfg, err := config.Reload(os.Getenv)
		if err == nil {
			err = p.checkReloaded(cfg)
		}
		if err != nil {
			p.log.WithError(err).WithField("formerly", formerReloadRejected).Error("config: reload rejected, the previous configuration stays in force")
			p.router.CountRejectedReload()
			continue
		}
		p.router.Reload(cfg.Discovery)
	}
}

// checkReloaded rejects the configuration of another service, whose discovery lists servers for other requests.
func (p *process) checkReloaded(cfg config.Config) error {
	err := settings.CheckSameService(settings.MethodNames(cfg.Settings), settings.MethodNames(p.config.Settings))
	if err == nil {
		return nil
	}
	return &configerror.Error{
		Field:   "settings",
		Problem: err.Error(),
		Remedy:  fmt.Sprintf("start it anew, or give it a file of its own in place of %q", os.Getenv("EDGE_CONFIG")),
		Cause:   err,
	}
}
