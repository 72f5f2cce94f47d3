package controlplane

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"spurtrestle/core/policycommit"
	"spurtrestle/internal/fleet"
)

// Ask asks the leader for an operator and waits for the answer.
func (k *Keeper) Ask(text string) (string, error) {
	var q policycommit.Request
	if err := json.Unmarshal([]byte(text), &q); err != nil {
		return "", fmt.Errorf("what is asked cannot be read: %w", err)
	}
	if q.What == "found" {
		return k.found()
	}
	q.ID = rand.Uint64() | 1
	if q.What == "apply" {
		if err := k.check(q.Doc); err != nil { // before anything is sent
			return "", err
		}
	}
	came := make(chan policycommit.Reply, 1)
	k.mu.Lock()
	k.calls[q.ID] = came
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.calls, q.ID)
		k.mu.Unlock()
	}()
	const patience, again = 8 * time.Second, 500 * time.Millisecond // a change has five
	for end := time.Now().Add(patience); time.Now().Before(end); {
		for _, leader := range k.fleet.Leaders() {
			k.tell(leader, said{Request: &q})
		}
		select {
		case r := <-came:
			out, err := json.MarshalIndent(r, "", " ")
			return string(out) + "\n", err
		case <-time.After(again): // by a token it is asked for once, however often
		case <-k.stop:
			return "", errNoLeader
		}
	}
	return "", errNoLeader
}

// replied is called with the lock held.
func (k *Keeper) replied(r policycommit.Reply) {
	select {
	case k.calls[r.ID] <- r:
	default:
	}
}

// serve answers what an operator asked at another router, or this one, where this keeper leads.
func (k *Keeper) serve(from fleet.Incarnation, q policycommit.Request) {
	k.mu.Lock()
	raftLog, leader := k.raftLog, k.leader
	k.mu.Unlock()
	if leader == nil || raftLog == nil {
		return
	}
	reply := func(r policycommit.Reply) {
		r.ID = q.ID
		k.tell(from, said{Reply: &r})
	}
	var err error
	switch q.What {
	case "apply":
		b := raftLog.now()
		if v, over := b.Verdicts[q.Token]; over {
			reply(policycommit.Reply{Verdict: &v})
			return
		}
		k.mu.Lock()
		k.wants[q.Token] = append(k.wants[q.Token], waiting{from, q.ID})
		asked := len(k.wants[q.Token]) > 1
		k.mu.Unlock()
		if asked || b.Pending != nil && b.Pending.Token == q.Token {
			return
		}
		_ = raftLog.put(policycommit.Entry{Kind: policycommit.Propose, Token: q.Token, Base: q.Base, Doc: q.Doc, Author: q.Author, Reason: q.Reason, At: q.At}) // asked again
		return
	case "dead":
		err = raftLog.put(policycommit.Entry{Kind: policycommit.Dead, Name: policycommit.Name(q.Name), Author: q.Author, Reason: q.Reason, At: q.At})
		k.log.WithFields(map[string]any{"router": q.Name, "by": q.Author, "reason": q.Reason}).Warn("policy: an operator says that a router is dead")
	case "replace":
		err = raftLog.replace(q.Name)
	case "site":
		err = k.siteWord(raftLog, q)
	case "status", "history", "sites":
	default:
		err = fmt.Errorf("%q is nothing that can be asked", q.What)
	}
	if err == nil && !raftLog.confirmed() {
		return // another leads: it will be asked
	}
	r := policycommit.Reply{}
	if err != nil {
		r.Error = err.Error()
	}
	b := raftLog.now()
	if q.What == "sites" || q.What == "site" {
		r.Sites, r.Plan = k.siteStatus(b)
	}
	r.Current, _ = b.Current()
	r.Pending = b.Pending
	k.mu.Lock()
	r.Standings = leader.Standings(k.micros(), b)
	k.mu.Unlock()
	r.Keepers = append(r.Keepers, raftLog.servers()...)
	if q.What == "history" {
		const most = 20
		r.History, r.Said = b.History[max(0, len(b.History)-most):], b.Said
		if q.Base > 0 { // one alone
			r.History = nil
			for _, c := range b.History {
				if c.Revision == q.Base {
					r.History = append(r.History, c)
				}
			}
		}
	}
	reply(r)
}

// found begins a fleet's policy at this keeper, once and for all.
func (k *Keeper) found() (string, error) {
	if k.raftLog == nil {
		return "", fmt.Errorf("this router is no keeper; found the policy at one of %q", k.cfg.Keepers)
	}
	for _, x := range k.fleet.Voters() {
		if x.Voter {
			return "", fmt.Errorf("the policy was founded before: %s takes part in it", x.Name)
		}
	}
	if _, _, member := k.raftLog.last(); member {
		return "", fmt.Errorf("the policy was founded before, and this keeper takes part in it")
	}
	if err := k.raftLog.begin(0, true); err != nil {
		return "", err
	}
	k.log.Warn("policy: founded here, as an operator asked")
	return "founded\n", nil
}

// welcome tells a keeper that its folder may take part.
func (k *Keeper) welcome(x fleet.VoterStatus) {
	k.tell(x.Incarnation, said{Welcome: strconv.FormatUint(x.VoterID, 16)})
}

// welcomed begins to take part, if this folder is meant.
func (k *Keeper) welcomed(number string) {
	if k.raftLog == nil {
		return
	}
	if mine, _, member := k.raftLog.last(); member || strconv.FormatUint(mine, 16) != number {
		return
	}
	if err := k.raftLog.begin(0, false); err != nil {
		k.log.WithError(err).Error("policy: this keeper takes no part")
		return
	}
	k.log.Info("policy: welcomed by the keepers")
}

// resume takes part again after a restart, once it is known what the others have heard this folder speak of.
func (k *Keeper) resume() {
	if k.raftLog == nil {
		return
	}
	number, was := k.raftLog.folder()
	if !was {
		return
	}
	const patience = 3 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end) && !k.fleet.HasJoined(); time.Sleep(50 * time.Millisecond) {
		select {
		case <-k.stop:
			return
		default:
		}
	}
	for said := false; ; said = true {
		err := k.raftLog.begin(k.fleet.AcknowledgedIndex(number), false)
		if err == nil {
			return
		}
		if !said {
			k.log.WithError(err).Error("policy: this keeper takes no part")
		}
		if errors.Is(err, errPutBack) {
			return
		}
		select { // a process before this one may have the folder, or the address
		case <-k.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}
