package gossip

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"spurtrestle/core/membership"
)

// known is the file of peers: whom to call after a restart when nobody of join is there.
type known struct {
	Fleet  string          `json:"fleet"`
	Router membership.Name `json:"router"`
	Peers  []string        `json:"peers"`
	Remote []string        `json:"remote,omitempty"` // of a tiered fleet: representatives of other sites
}

const file = "peers.json"

// readKnown reads the file, and takes the representatives in it for some of fleet.remote. A folder of another router is refused; one that cannot be read is not needed.
func (p *Node) readKnown() ([]string, error) {
	if p.cfg.Dir == "" {
		return nil, nil
	}
	name := filepath.Join(p.cfg.Dir, file)
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var k known
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err != nil {
		p.log.WithError(err).WithField("file", name).Warn("fleet: the peers known before are not read; those of fleet.join are called")
		return nil, nil
	}
	if k.Fleet != p.me.Fleet || k.Router != p.me.Name {
		return nil, p.cfg.ConfigError("fleet.dir", fmt.Sprintf("%s is that of router %q of fleet %q, and this one is %q of %q", p.cfg.Dir,
			k.Router, k.Fleet, p.me.Name, p.me.Fleet), "give each router a folder of its own")
	}
	p.cfg.Remote = append(slices.Clone(p.cfg.Remote), k.Remote...)
	return k.Peers, nil
}

// keepKnown writes the file, whole or not at all. Without it a restart has fleet.join.
func (p *Node) keepKnown() {
	if p.cfg.Dir == "" {
		return
	}
	p.mu.Lock()
	k := known{p.me.Fleet, p.me.Name, p.view.KnownAddrs(), p.knownRemote()}
	p.mu.Unlock()
	text, err := json.MarshalIndent(k, "", " ")
	name := filepath.Join(p.cfg.Dir, file)
	if err == nil {
		err = os.WriteFile(name+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(name+".new", name)
	}
	if failing := err != nil; failing != p.failing {
		if p.failing = failing; failing {
			p.log.WithError(err).Warn("fleet: the peers known are not kept; free the disk, or give fleet.dir a folder that can be written")
		} else {
			p.log.Info("fleet: the peers known are kept again")
		}
	}
}
