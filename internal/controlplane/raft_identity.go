package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"github.com/hashicorp/raft"
)

const identityFileName = "keeper.json"

// voterIdentity identifies the voter that a directory belongs to, and is stored in it. A new directory has a new ID, so that raft
// regards it as another voter.
type voterIdentity struct {
	Name    string `json:"name"`
	VoterID uint64 `json:"number"`
	Member  bool   `json:"member"` // the voter has joined raft with this directory
}

// openIdentity reads the identity in a directory, or stores a new one if there is none.
func openIdentity(dir, name string) (voterIdentity, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return voterIdentity{}, err
	}
	text, err := os.ReadFile(filepath.Join(dir, identityFileName))
	if errors.Is(err, os.ErrNotExist) {
		identity := voterIdentity{Name: name, VoterID: rand.Uint64() | 1}
		return identity, identity.persist(dir)
	}
	if err != nil {
		return voterIdentity{}, err
	}
	var identity voterIdentity
	if err := json.Unmarshal(text, &identity); err != nil || identity.VoterID == 0 {
		return voterIdentity{}, fmt.Errorf("%s in %s cannot be read (%v)", identityFileName, dir, err)
	}
	if identity.Name != name {
		return voterIdentity{}, fmt.Errorf("%s belongs to router %q, and this is router %q", dir, identity.Name, name)
	}
	return identity, nil
}

// persist replaces the identity file atomically.
func (v voterIdentity) persist(dir string) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	name := filepath.Join(dir, identityFileName)
	if err := os.WriteFile(name+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// serverID returns the ID of a voter in raft: the router's name and the voter ID of its directory.
func serverID(name string, voterID uint64) raft.ServerID {
	return raft.ServerID(name + "/" + formatVoterID(voterID))
}

// routerName returns the router's name in the ID of a voter.
func routerName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}
