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

// voterIdentity is the voter that a folder belongs to. It is stored in the folder. A new folder has a new ID, and so is another
// voter to raft.
type voterIdentity struct {
	Name    string `json:"name"`
	VoterID uint64 `json:"number"`
	Member  bool   `json:"member"` // the voter has joined raft with this folder
}

// openIdentity reads the identity of a folder, or persists one in a new folder.
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
		return voterIdentity{}, fmt.Errorf("%s is the folder of keeper %q, and this one is %q", dir, identity.Name, name)
	}
	return identity, nil
}

// persist writes the identity to a new file and renames it.
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

// serverID returns raft's ID of a voter: its name and the ID of its folder.
func serverID(name string, voterID uint64) raft.ServerID {
	return raft.ServerID(name + "/" + formatVoterID(voterID))
}

// routerName returns the name in raft's ID of a voter.
func routerName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}
