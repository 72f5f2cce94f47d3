package policycommit

import (
	"fmt"
	"maps"
	"slices"

	"spurtrestle/core/sitefailover"
)

const (
	maxHistory  = 100 // committed changes that can be shown and reverted
	maxVerdicts = 1000
)

// Change is a change that is pending or was committed.
type Change struct {
	Revision      Revision `json:"revision"`
	Token         Token    `json:"token"`
	Document      string   `json:"doc"`
	Author        string   `json:"author"`
	Reason        string   `json:"reason"`
	RequestedAt   int64    `json:"at"` // the operator's wall clock, in microseconds since 1970
	ProposalIndex Index    `json:"index"`
}

// Verdict is the outcome of a proposed change.
type Verdict struct {
	Committed bool     `json:"everywhere"`
	Revision  Revision `json:"revision"` // of the change; of the policy in force if it was not committed
	Reason    string   `json:"why,omitempty"`
}

// Member is a router that may admit requests.
type Member struct {
	Incarnation Incarnation `json:"process"`
	FailOpen    bool        `json:"serves"` // it keeps serving under its policy while it cannot reach the leader
	Build       string      `json:"build"`
	Site        string      `json:"site"`
}

// LogState is the replicated state that results from the entries of the raft log. The zero value is the state of an empty log.
// It is stored in raft snapshots as JSON.
type LogState struct {
	Index        Index                 `json:"index"`   // of the last entry applied
	History      []Change              `json:"history"` // committed changes; the last is in force
	Pending      *Change               `json:"pending"`
	Verdicts     map[Token]Verdict     `json:"verdicts"`
	VerdictOrder []Token               `json:"order"` // the keys of Verdicts, oldest first
	Members      map[RouterName]Member `json:"roster"`
	DeathReports []Entry               `json:"said"`

	Sites     map[sitefailover.Site]sitefailover.Decision `json:"sites"`
	LeasedOut map[RouterName]bool                         `json:"out"` // lost routers whose shares are leased to the others
}

// Current returns the revision in force and its document.
func (l *LogState) Current() (revision Revision, document string) {
	if len(l.History) == 0 {
		return 0, ""
	}
	last := l.History[len(l.History)-1]
	return last.Revision, last.Document
}

// Clone returns a copy that later calls of Apply do not change.
func (l *LogState) Clone() *LogState {
	clone := *l
	clone.History = slices.Clone(l.History)
	clone.VerdictOrder = slices.Clone(l.VerdictOrder)
	clone.DeathReports = slices.Clone(l.DeathReports)
	clone.Verdicts = maps.Clone(l.Verdicts)
	clone.Members = maps.Clone(l.Members)
	clone.Sites = maps.Clone(l.Sites)
	clone.LeasedOut = maps.Clone(l.LeasedOut)
	if l.Pending != nil {
		pending := *l.Pending
		clone.Pending = &pending
	}
	return &clone
}

// Apply applies the entry at an index of the log. ok reports whether the entry ended a proposed change, either its own or the
// pending one; verdict is then the outcome for entry.Token.
func (l *LogState) Apply(index Index, entry Entry) (verdict Verdict, ok bool) {
	l.Index = index
	if l.Verdicts == nil {
		l.Verdicts = map[Token]Verdict{}
		l.Members = map[RouterName]Member{}
	}
	switch entry.Kind {
	case EntryPropose:
		return l.applyProposal(index, entry)
	case EntryCommit:
		return l.applyCommit(entry)
	case EntryAbort:
		return l.applyAbort(entry)
	case EntryJoin:
		l.Members[entry.Name] = Member{Incarnation: entry.Incarnation, FailOpen: entry.FailOpen, Build: entry.Build, Site: entry.Site}
	case EntryLeave:
		if l.Members[entry.Name].Incarnation == entry.Incarnation {
			delete(l.Members, entry.Name)
		}
	case EntryMarkDead:
		l.applyDeathReport(entry)
	case EntrySiteTransition:
		l.applySiteTransition(index, entry.Transition)
	case EntryGrantShare:
		l.applyShareGrant(entry)
	case EntryRevokeShare:
		delete(l.LeasedOut, entry.Name)
	}
	return Verdict{}, false
}

func (l *LogState) applyProposal(index Index, entry Entry) (Verdict, bool) {
	if verdict, ok := l.Verdicts[entry.Token]; ok {
		return verdict, true // the request was repeated
	}
	current, _ := l.Current()
	switch {
	case l.Pending != nil && l.Pending.Token == entry.Token:
		return Verdict{}, false
	case l.Pending != nil:
		reason := fmt.Sprintf("another change is being made, by %s: %s", l.Pending.Author, l.Pending.Reason)
		return l.recordVerdict(entry.Token, Verdict{Revision: current, Reason: reason})
	case entry.Base != current:
		reason := fmt.Sprintf("it was made for revision %d, and %d is in force", entry.Base, current)
		if len(l.History) > 0 {
			last := l.History[len(l.History)-1]
			reason += fmt.Sprintf(", by %s: %s", last.Author, last.Reason)
		}
		return l.recordVerdict(entry.Token, Verdict{Revision: current, Reason: reason})
	}
	l.Pending = &Change{
		Revision:      current + 1,
		Token:         entry.Token,
		Document:      entry.Document,
		Author:        entry.Author,
		Reason:        entry.Reason,
		RequestedAt:   entry.RequestedAt,
		ProposalIndex: index,
	}
	return Verdict{}, false
}

func (l *LogState) applyCommit(entry Entry) (Verdict, bool) {
	if !l.isPending(entry.Token) {
		return Verdict{}, false
	}
	committed := *l.Pending
	l.Pending = nil
	l.History = append(l.History, committed)
	if len(l.History) > maxHistory {
		l.History = slices.Clone(l.History[1:])
	}
	return l.recordVerdict(entry.Token, Verdict{Committed: true, Revision: committed.Revision})
}

func (l *LogState) applyAbort(entry Entry) (Verdict, bool) {
	if !l.isPending(entry.Token) {
		return Verdict{}, false
	}
	l.Pending = nil
	current, _ := l.Current()
	return l.recordVerdict(entry.Token, Verdict{Revision: current, Reason: entry.AbortReason})
}

func (l *LogState) isPending(token Token) bool { return l.Pending != nil && l.Pending.Token == token }

func (l *LogState) recordVerdict(token Token, verdict Verdict) (Verdict, bool) {
	l.Verdicts[token] = verdict
	l.VerdictOrder = append(l.VerdictOrder, token)
	if len(l.VerdictOrder) > maxVerdicts {
		delete(l.Verdicts, l.VerdictOrder[0])
		l.VerdictOrder = slices.Clone(l.VerdictOrder[1:])
	}
	return verdict, true
}

func (l *LogState) applyDeathReport(entry Entry) {
	delete(l.Members, entry.Name)
	l.DeathReports = append(l.DeathReports, entry)
	if len(l.DeathReports) > maxHistory {
		l.DeathReports = slices.Clone(l.DeathReports[1:])
	}
}

// applySiteTransition ignores a transition that was made for an earlier decision on the site. Of two concurrent transitions, by
// an operator and by the leader, only the first one in the log is applied.
func (l *LogState) applySiteTransition(index Index, transition *sitefailover.Transition) {
	if transition == nil || l.Sites[transition.Site].Index != transition.PreviousIndex {
		return
	}
	if l.Sites == nil {
		l.Sites = map[sitefailover.Site]sitefailover.Decision{}
	}
	transition.Decision.Index = uint64(index)
	l.Sites[transition.Site] = transition.Decision
}

// applyShareGrant ignores a grant for an incarnation that has been replaced meanwhile.
func (l *LogState) applyShareGrant(entry Entry) {
	member := l.Members[entry.Name]
	if member.Incarnation == 0 || member.Incarnation != entry.Incarnation {
		return
	}
	if l.LeasedOut == nil {
		l.LeasedOut = map[RouterName]bool{}
	}
	l.LeasedOut[entry.Name] = true
}
