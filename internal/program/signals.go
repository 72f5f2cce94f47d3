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

// processSignals holds the signal channels, registered when the process starts: an early SIGHUP does not kill it, and an early
// SIGTERM ends it gracefully once it serves. Each purpose has its own channel and goroutine, so that a signal is neither lost
// nor delayed behind those of another purpose; several pending signals of one purpose are handled as one.
type processSignals struct {
	reload   chan os.Signal // SIGHUP
	end      chan os.Signal // SIGTERM and SIGINT
	counters chan os.Signal // SIGUSR1
}

// notifySignals registers the signals that the process handles.
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

// handleEnd drains the router and, concurrently, the gRPC clients.
func (p *process) handleEnd(signals <-chan os.Signal) {
	for range signals {
		p.router.Drain()
		go p.stopFrontend()
	}
}

// handleCounters logs the counters at each SIGUSR1.
func (p *process) handleCounters(signals <-chan os.Signal) {
	for range signals {
		p.router.LogCounters()
	}
}

// formerReloadRejected is the text that the log line had in earlier releases. Operators' tools that match it find it in the
// field "formerly" for one more release.
const formerReloadRejected = "the new configuration is not taken; the old one holds"

// handleReload reads the configuration again at each SIGHUP. Of a valid one, only the address of discovery takes effect
// without a restart.
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

// checkReloaded rejects the configuration of another service: its discovery lists servers that cannot answer this router's
// requests.
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
