package gossip

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"spurtrestle/core/membership"
)

// peersFile is the JSON content of the peers file: addresses that a restarted router joins in addition to the configured seeds.
type peersFile struct {
	Fleet  string          `json:"fleet"`
	Router membership.Name `json:"router"`
	Peers  []string        `json:"peers"`
	Remote []string        `json:"remote,omitempty"` // representatives of other sites of a tiered fleet
}

const peersFileName = "peers.json"

// loadPeers reads the peers file. A missing or unreadable file counts as empty; the file of another router is an error.
func (n *Node) loadPeers() (peersFile, error) {
	if n.config.Dir == "" {
		return peersFile{}, nil
	}
	name := filepath.Join(n.config.Dir, peersFileName)
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return peersFile{}, nil
	}
	var file peersFile
	if err == nil {
		err = json.Unmarshal(text, &file)
	}
	if err != nil {
		n.log.WithError(err).WithField("file", name).Warn("fleet: peers file not read; joining the routers of fleet.join")
		return peersFile{}, nil
	}
	if file.Fleet != n.self.Fleet || file.Router != n.self.Name {
		return peersFile{}, n.config.ConfigError("fleet.dir", fmt.Sprintf("%s belongs to router %q of fleet %q, and this is router %q of fleet %q",
			n.config.Dir, file.Router, file.Fleet, n.self.Name, n.self.Fleet), "use a separate directory for each router")
	}
	return file, nil
}

// persistPeers replaces the peers file atomically. It logs a failure only if the previous write succeeded, and vice versa.
func (n *Node) persistPeers() {
	if n.config.Dir == "" {
		return
	}
	n.mu.Lock()
	file := peersFile{
		Fleet:  n.self.Fleet,
		Router: n.self.Name,
		Peers:  n.view.KnownAddrs(),
		Remote: n.knownRepresentatives(),
	}
	n.mu.Unlock()
	err := writePeersFile(filepath.Join(n.config.Dir, peersFileName), file)
	hasFailed := err != nil
	if hasFailed == n.persistFailing {
		return
	}
	n.persistFailing = hasFailed
	if hasFailed {
		n.log.WithError(err).WithField("formerly", formerPersistFailed).Warn("fleet: peers file not written; free the disk, or give fleet.dir a folder that can be written")
	} else {
		n.log.WithField("formerly", formerPersistRecovered).Info("fleet: peers file written again")
	}
}

func writePeersFile(name string, file peersFile) error {
	text, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(name+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}
