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
// SIGTERM ends it gracefully once it serves.
type processSignals struct {
	reload chan os.Signal // SIGHUP; one that waits stands for several
	end    chan os.Signal // SIGTERM and SIGINT, and SIGUSR1
}

func notifySignals() processSignals {
	s := processSignals{
		reload: make(chan os.Signal, 1),
		end:    make(chan os.Signal, 4),
	}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.end, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	return s
}

// handleEnd prints the counters at SIGUSR1 and drains the router at other signals. gRPC clients are drained at the same time.
// It runs until the process exits.
func (p *process) handleEnd(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGUSR1 {
			p.router.Print()
			continue
		}
		p.router.Drain()
		go p.stopFront()
	}
}

// formerReloadRejected is the text of the log line in earlier releases, for one release more.
const formerReloadRejected = "the new configuration is not taken; the old one holds"

// handleReload reads the configuration again at each SIGHUP. Only the address of discovery takes effect without a restart.
// It runs until the process exits.
func (p *process) handleReload(signals <-chan os.Signal) {
	for range signals {
		cfg, err := config.Reload(os.Getenv)
		if err == nil {
			err = p.checkReloaded(cfg)
		}
		if err != nil {
			p.log.WithError(err).WithField("formerly", formerReloadRejected).Error("config: reload rejected, the previous configuration stays in force")
			p.router.NotLoaded()
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
