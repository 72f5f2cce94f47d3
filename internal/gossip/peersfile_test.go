package gossip

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestNode_LoadPeers(t *testing.T) {
	for _, test := range []struct {
		name      string
		content   string // empty: there is no file
		wantPeers int
		wantErr   string
	}{
		{"no file", "", 0, ""},
		{"own file", `{"fleet":"harvest","router":"hill-0","peers":["10.0.0.2:7946","10.0.0.3:7946"]}`, 2, ""},
		{"unreadable file", `{"fleet":`, 0, ""},
		{"file of another router", `{"fleet":"harvest","router":"hill-1"}`, 0, "fleet.dir"},
		{"file of another fleet", `{"fleet":"vintage","router":"hill-0"}`, 0, "fleet.dir"},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newTestNode(false)
			n.config.Dir = t.TempDir()
			n.config.ConfigError = func(field, problem, remedy string) error { return errors.New(field + ": " + problem + "; " + remedy) }
			if test.content != "" {
				if err := os.WriteFile(filepath.Join(n.config.Dir, peersFileName), []byte(test.content), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			read, err := n.loadPeers()
			if len(read.Peers) != test.wantPeers {
				t.Errorf("peers: got %q, want %d", read.Peers, test.wantPeers)
			}
			hasError := err != nil && strings.Contains(err.Error(), test.wantErr)
			if (test.wantErr == "") != (err == nil) || test.wantErr != "" && !hasError {
				t.Errorf("error: got %v, want one about %q", err, test.wantErr)
			}
		})
	}
}
