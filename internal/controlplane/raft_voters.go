package controlplane

import (
	"fmt"
	"slices"

	"github.com/hashicorp/raft"

	"spurtrestle/internal/fleet"
)

// addVoters adds the first candidate that is configured as a voter and not known to raft yet. It invites the candidate to start
// raft, and adds it only once it has, so that the quorum never includes a voter that does not answer. The leader's next pass
// repeats a failed call.
func (l *raftLog) addVoters(candidates []fleet.VoterStatus, configured []string, invite func(fleet.VoterStatus)) {
	servers, err := l.servers()
	if err != nil {
		return
	}
	for _, candidate := range candidates {
		isVoter := slices.ContainsFunc(servers, func(server raft.Server) bool { return routerName(server.ID) == candidate.Name })
		if isVoter || candidate.VoterID == 0 || !slices.Contains(configured, candidate.Name) {
			continue
		}
		invite(candidate)
		if candidate.Voter {
			id := serverID(candidate.Name, candidate.VoterID)
			_ = l.raftNode().AddVoter(id, raft.ServerAddress(candidate.Addr), 0, raftTimeout).Error()
		}
		return
	}
}

// removeVoter removes a voter that has lost its directory. With its new directory it is another voter, which addVoters adds.
func (l *raftLog) removeVoter(name string) error {
	servers, err := l.servers()
	if err != nil {
		return err
	}
	for _, server := range servers {
		if routerName(server.ID) == name {
			return l.raftNode().RemoveServer(server.ID, 0, raftTimeout).Error()
		}
	}
	return fmt.Errorf("%q is no keeper", name)
}

// voters returns a description of each voter, with ID and address, for operators.
func (l *raftLog) voters() []string {
	servers, err := l.servers()
	if err != nil {
		return nil
	}
	_, leader := l.raftNode().LeaderWithID()
	var descriptions []string
	for _, server := range servers {
		description := string(server.ID) + " at " + string(server.Address)
		if server.ID == leader {
			description += ", leads"
		}
		descriptions = append(descriptions, description)
	}
	return descriptions
}

// servers returns the voters in raft's configuration. It returns ErrNoLeader before start.
func (l *raftLog) servers() ([]raft.Server, error) {
	node := l.raftNode()
	if node == nil {
		return nil, ErrNoLeader
	}
	future := node.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Configuration().Servers, nil
}
