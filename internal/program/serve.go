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

// process is one serving process: the router and the components around it.
type process struct {
	log          *logrus.Logger
	components   Components
	config       config.Config
	file         operator.File
	fleet        fleet.Config // fleet.Fleet is empty without a fleet
	router       *router.Router
	snapshots    *snapshot.Writer // nil: learned state is not persisted
	admin        net.Listener     // nil: the admin endpoint is disabled
	stopFrontend func()           // stops gRPC gracefully
	stopFleet    func()           // leaves the policy and the fleet
}

// serve runs a router until a signal ends it. After an error the process exits, which ends the goroutines started so far and
// releases the lock of the snapshot directory.
func serve(log *logrus.Logger, operatorFile string, components Components) error {
	signals := notifySignals()
	p, err := newProcess(log, operatorFile, components)
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
	if err := p.startFrontend(); err != nil {
		return err
	}
	p.handleSignals(signals)
	return p.run()
}

// newProcess reads the configuration and creates the router, with the state learned by an earlier process.
func newProcess(log *logrus.Logger, operatorFile string, components Components) (*process, error) {
	p := &process{log: log, components: components, stopFrontend: func() {}, stopFleet: func() {}}
	var err error
	if p.config, err = config.Load(os.Getenv); err != nil {
		return nil, err
	}
	if p.config.ShapeConflict != nil {
		log.WithError(p.config.ShapeConflict).Warn("config: settings mix two deployment shapes; each key applies as given")
	}
	if p.file, err = loadOperatorFile(operatorFile, components); err != nil {
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

// openSnapshots passes the newest snapshot to the router and has it submit new ones, if the operator's file names a directory.
func (p *process) openSnapshots() {
	dir := p.file.State.Dir
	if dir == "" {
		return
	}
	var learned *snapshot.State
	p.snapshots, learned = snapshot.OpenWriter(dir, p.log)
	interval := clock.Duration(p.file.State.Interval() / time.Microsecond)
	p.router.ConfigureSnapshots(learned, interval, p.snapshots.Submit)
}

// openAdmin opens the admin endpoint's listener, connects to a predecessor, and reads the operator state. Requests are answered
// once serveAdmin is called. The processes of one router find each other and the operator state in the temporary directory.
func (p *process) openAdmin() error {
	if p.config.Admin == "" {
		return nil
	}
	var err error
	if p.admin, err = net.Listen("tcp", p.config.Admin); err != nil {
		return &configerror.Error{Field: "admin", Problem: err.Error(), Remedy: "give the admin endpoint a free address", Cause: err}
	}
	if err := p.router.ConnectPredecessor(os.TempDir()); err != nil {
		p.admin.Close()
		return err
	}
	methods := settings.MethodNames(p.config.Settings)
	p.router.UseOperatorStore(operatorstate.Open(os.TempDir(), p.config.Listen, methods))
	return nil
}

// serveAdmin starts to answer requests on the admin endpoint. Closing its listener ends that.
func (p *process) serveAdmin(served admin.Router) {
	if p.admin != nil {
		go admin.Serve(p.admin, p.config.Limits.AdminConnections, served)
	}
}

// joinFleet joins the fleet and follows its policy, as far as the operator's file configures them, and starts the admin
// endpoint.
func (p *process) joinFleet() error {
	if p.fleet.Fleet == "" {
		p.serveAdmin(p.router)
		return nil
	}
	minimumShare := sharelease.MinimumShare(p.fleet.FleetSize)
	p.fleet.HasPredecessor, p.fleet.NoSharesGranted = p.router.EnableFleetShare(minimumShare)
	node, err := p.components.Fleet(p.fleet, p.router, p.log)
	if err != nil {
		return err
	}
	withFleet := fleetRouter{p.router, node}
	if p.file.Policy.WhenIsolated == "" {
		p.serveAdmin(withFleet)
		p.stopFleet = func() { node.Close(p.router.HandedOver()) }
		return nil
	}
	policy, err := p.components.Policy(p.file.Policy, p.fleet, p.config.Settings, p.router, node, p.log)
	if err != nil {
		return err
	}
	p.serveAdmin(policyRouter{withFleet, policy})
	p.stopFleet = func() {
		policy.Close(p.router.HandedOver())
		node.Close(p.router.HandedOver())
	}
	return nil
}

// startFrontend starts gRPC if the operator's file configures it.
func (p *process) startFrontend() error {
	if p.file.GRPC.Listen == "" {
		return nil
	}
	stop, err := p.components.GRPC(p.router, p.config, p.file.GRPC, p.log)
	if err != nil {
		return err
	}
	p.stopFrontend = stop
	return nil
}

// errLoopEnded reports that the event loop ended without a signal to stop.
var errLoopEnded = errors.New("the loop ended by itself")

// run runs the router until it has drained, then stops the components and writes the last snapshot.
func (p *process) run() error {
	if err := p.router.Run(); err != nil {
		return err
	}
	p.stopFrontend()
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
