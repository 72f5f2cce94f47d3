package program

import (
	"errors"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/core/sharelease"
	"spurtrestle/internal/admin"
	"spurtrestle/internal/config"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/operatorstate"
	"spurtrestle/internal/router"
	"spurtrestle/internal/settings"
	"spurtrestle/internal/snapshot"
)

// finalSnapshotTimeout bounds the last write, within the grace period between SIGTERM and SIGKILL.
const finalSnapshotTimeout = time.Second

// process is one serving process: the router and the parts around it.
type process struct {
	log       *logrus.Logger
	parts     Components
	config    config.Config
	file      operator.File
	fleet     fleet.Config // fleet.Fleet is empty without a fleet
	router    *router.Router
	snapshots *snapshot.Writer // nil: learned state is not persisted
	admin     net.Listener     // nil: there is no admin endpoint
	stopFront func()           // ends gRPC gracefully
	stopFleet func()
}

// serve runs a router until a signal ends it. After an error the process exits, which ends the goroutines that were
// started by then and releases the lock of the snapshot folder.
func serve(log *logrus.Logger, operatorFile string, parts Components) error {
	signals := notifySignals()
	p, err := newProcess(log, operatorFile, parts)
	if err != nil {
		return err
	}
	if err := p.openAdmin(); err != nil {
		return err
	}
	if p.admin != nil {
		defer p.admin.Close()
	}
	if err := p.joinFleet(); err != nil {
		return err
	}
	if err := p.startFront(); err != nil {
		return err
	}
	p.handleSignals(signals)
	return p.run()
}

// newProcess reads the configuration and makes the router, with what was learned before.
func newProcess(log *logrus.Logger, operatorFile string, parts Components) (*process, error) {
	p := &process{log: log, parts: parts, stopFront: func() {}, stopFleet: func() {}}
	var err error
	if p.config, err = config.Load(os.Getenv); err != nil {
		return nil, err
	}
	if p.config.ShapeConflict != nil {
		log.WithError(p.config.ShapeConflict).Warn("config: settings of two shapes, each key applies as it stands")
	}
	if p.file, err = loadOperatorFile(operatorFile, parts); err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(p.config.Limits.MemoryBytes)
	if p.router, err = router.New(p.config, log); err != nil {
		return nil, err
	}
	p.openSnapshots()
	if p.file.Fleet.Name == "" {
		return p, nil
	}
	p.fleet, err = fleetConfig(p.file, p.config)
	return p, err
}

func (p *process) openSnapshots() {
	dir := p.file.State.Dir
	if dir == "" {
		return
	}
	var learned *snapshot.State
	p.snapshots, learned = snapshot.OpenWriter(dir, p.log)
	interval := clock.Duration(p.file.State.Interval() / time.Microsecond)
	p.router.Remember(learned, interval, p.snapshots.Submit)
}

// openAdmin listens for operators, connects to a predecessor, and reads the operator state. The endpoint answers once
// serveAdmin is called. The processes of a router find each other and the operator state in the temporary folder.
func (p *process) openAdmin() error {
	if p.config.Admin == "" {
		return nil
	}
	var err error
	if p.admin, err = net.Listen("tcp", p.config.Admin); err != nil {
		return &configerror.Error{Field: "admin", Problem: err.Error(), Remedy: "give the operators' door a free address", Cause: err}
	}
	if err := p.router.Join(os.TempDir()); err != nil {
		p.admin.Close()
		return err
	}
	methods := settings.MethodNames(p.config.Settings)
	p.router.Operate(operatorstate.Open(os.TempDir(), p.config.Listen, methods))
	return nil
}

// serveAdmin answers on the admin endpoint until its listener is closed.
func (p *process) serveAdmin(served admin.Router) {
	if p.admin != nil {
		go admin.Serve(p.admin, p.config.Limits.AdminConnections, served)
	}
}

// joinFleet joins the router to its fleet and policy, where the operator's file has them, and starts the admin endpoint.
func (p *process) joinFleet() error {
	if p.fleet.Fleet == "" {
		p.serveAdmin(p.router)
		return nil
	}
	minimumShare := sharelease.MinimumShare(p.fleet.FleetSize)
	p.fleet.HasPredecessor, p.fleet.NoSharesGranted = p.router.Place(minimumShare)
	node, err := p.parts.Fleet(p.fleet, p.router, p.log)
	if err != nil {
		return err
	}
	withFleet := fleetRouter{p.router, node}
	if p.file.Policy.WhenIsolated == "" {
		p.serveAdmin(withFleet)
		p.stopFleet = func() { node.Close(p.router.Handed()) }
		return nil
	}
	policy, err := p.parts.Policy(p.file.Policy, p.fleet, p.config.Settings, p.router, node, p.log)
	if err != nil {
		return err
	}
	p.serveAdmin(policyRouter{withFleet, policy})
	p.stopFleet = func() {
		policy.Close(p.router.Handed())
		node.Close(p.router.Handed())
	}
	return nil
}

func (p *process) startFront() error {
	if p.file.GRPC.Listen == "" {
		return nil
	}
	stop, err := p.parts.GRPC(p.router, p.config, p.file.GRPC, p.log)
	if err != nil {
		return err
	}
	p.stopFront = stop
	return nil
}

// errLoopEnded reports an event loop that ended without a signal.
var errLoopEnded = errors.New("the loop ended by itself")

// run runs the router until it has drained, and ends the parts.
func (p *process) run() error {
	if err := p.router.Run(); err != nil {
		return err
	}
	p.stopFront()
	p.stopFleet()
	p.log.Info(p.router.Counters())
	if p.snapshots != nil {
		p.snapshots.Close(p.router.State(), finalSnapshotTimeout)
	}
	if !p.router.Drained() {
		return errLoopEnded
	}
	return nil
}
