package sitefailover

import (
	"testing"

	"spurtrestle/core/clock"
)

// The transitions by evidence in the table of the package comment, each with its guard satisfied and not satisfied.
func TestSiteState_Transitions(t *testing.T) {
	const now = 1000 * clock.Second
	plan := DefaultPlan()
	lastStep := len(plan.RecoverySteps) - 1
	healthy := evidence{known: true, routers: 2, reportingRouters: 2, listed: 1, responding: 1, respondingLocally: 1}
	unhealthy := healthy
	unhealthy.responding = healthyFraction - 0.1
	since := func(duration clock.Duration) clock.Time { return now - duration }
	tests := []struct {
		name     string
		state    siteState
		evidence evidence
		fleet    traffic
		want     *Decision // nil: no transition
	}{
		{name: "up without evidence", evidence: healthy},
		{
			name:  "up, evidence of a loss too recent",
			state: siteState{lossSince: since(plan.LostAfter - 1)},
		},
		{
			name:  "up, evidence of a loss",
			state: siteState{lossSince: since(plan.LostAfter)},
			want:  &Decision{Stage: Lost},
		},
		{
			name:  "up, lost soon after a recovery",
			state: siteState{decision: Decision{Index: 7, RepeatedLosses: 1}, decidedAt: since(repeatedLossWindow - 1), lossSince: since(plan.LostAfter)},
			want:  &Decision{Stage: Lost, RepeatedLosses: 2},
		},
		{
			name:  "up, lost long after a recovery",
			state: siteState{decision: Decision{Index: 7, RepeatedLosses: 1}, decidedAt: since(repeatedLossWindow), lossSince: since(plan.LostAfter)},
			want:  &Decision{Stage: Lost},
		},
		{
			name:     "lost, evidence of a recovery too recent",
			state:    siteState{decision: Decision{Stage: Lost}, recoverySince: since(plan.RecoverAfter - 1)},
			evidence: healthy,
		},
		{
			name:     "lost, evidence of a recovery",
			state:    siteState{decision: Decision{Stage: Lost}, recoverySince: since(plan.RecoverAfter)},
			evidence: healthy,
			want:     &Decision{Stage: Recovering},
		},
		{
			name:     "lost repeatedly, wait doubled twice",
			state:    siteState{decision: Decision{Stage: Lost, RepeatedLosses: 2}, recoverySince: since(4*plan.RecoverAfter - 1)},
			evidence: healthy,
		},
		{
			name:     "lost and paused",
			state:    siteState{decision: Decision{Stage: Lost, Paused: true}, recoverySince: since(plan.RecoverAfter)},
			evidence: healthy,
		},
		{
			name:     "recovering, step too recent",
			state:    siteState{decision: Decision{Stage: Recovering}, decidedAt: since(plan.MinStepDuration - 1)},
			evidence: healthy,
		},
		{
			name:     "recovering, next step",
			state:    siteState{decision: Decision{Stage: Recovering, RepeatedLosses: 1}, decidedAt: since(plan.MinStepDuration)},
			evidence: healthy,
			want:     &Decision{Stage: Recovering, Step: 1, RepeatedLosses: 1},
		},
		{
			name:     "recovering, after the last step",
			state:    siteState{decision: Decision{Stage: Recovering, Step: lastStep}, decidedAt: since(plan.MinStepDuration)},
			evidence: healthy,
			want:     &Decision{Stage: Up},
		},
		{
			name:     "recovering, servers do not respond",
			state:    siteState{decision: Decision{Stage: Recovering}, decidedAt: since(plan.MinStepDuration)},
			evidence: unhealthy,
		},
		{
			name:     "recovering, more requests fail than before the step",
			state:    siteState{decision: Decision{Stage: Recovering}, decidedAt: since(plan.MinStepDuration), failedAtDecision: 0.1},
			evidence: healthy,
			fleet:    traffic{failedFraction: 0.1 + 2*highFailedFraction},
		},
		{
			name:     "recovering, as many requests fail as before the step",
			state:    siteState{decision: Decision{Stage: Recovering}, decidedAt: since(plan.MinStepDuration), failedAtDecision: 0.1},
			evidence: healthy,
			fleet:    traffic{failedFraction: 0.1},
			want:     &Decision{Stage: Recovering, Step: 1},
		},
		{
			name:     "recovering, slow origin",
			state:    siteState{decision: Decision{Stage: Recovering}, decidedAt: since(plan.MinStepDuration)},
			evidence: healthy,
			fleet:    traffic{originSlowdown: maxOriginSlowdown + 0.1},
		},
		{
			name:     "recovering and paused",
			state:    siteState{decision: Decision{Stage: Recovering, Paused: true}, decidedAt: since(plan.MinStepDuration)},
			evidence: healthy,
		},
		{
			name:  "recovering and paused, lost again",
			state: siteState{decision: Decision{Stage: Recovering, Step: 3, Paused: true}, lossSince: since(plan.LostAfter / 2)},
			want:  &Decision{Stage: Lost, RepeatedLosses: 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.state.next(now, &plan, test.evidence, test.fleet).transition
			if (got != nil) != (test.want != nil) {
				t.Fatalf("transition: got %+v, want %+v", got, test.want)
			}
			if got == nil {
				return
			}
			isEqual := got.Stage == test.want.Stage && got.Step == test.want.Step && got.Paused == test.want.Paused &&
				got.RepeatedLosses == test.want.RepeatedLosses
			if !isEqual {
				t.Errorf("decision: got %+v, want %+v", got.Decision, *test.want)
			}
			if got.DecidedBy != decidedByEvidence || got.Reason == "" {
				t.Errorf("decided by %q with reason %q, want %q and a reason", got.DecidedBy, got.Reason, decidedByEvidence)
			}
		})
	}
}

// The transitions by operator commands in the table of the package comment.
func TestCommand_Transitions(t *testing.T) {
	plan := DefaultPlan()
	plan.Sites = []SitePlan{{Name: "a"}, {Name: "b"}}
	tests := []struct {
		name     string
		action   Action
		current  Decision // of site a
		other    Decision // of site b
		want     Decision
		rejected bool
	}{
		{name: "lose an up site", action: ActionLose, want: Decision{Stage: Lost, Paused: true}},
		{name: "lose a recovering site", action: ActionLose, current: Decision{Stage: Recovering, Step: 3}, want: Decision{Stage: Lost, Paused: true}},
		{name: "lose the last site", action: ActionLose, other: Decision{Stage: Lost}, rejected: true},
		{name: "recover a lost site", action: ActionRecover, current: Decision{Stage: Lost, Paused: true, RepeatedLosses: 2}, want: Decision{Stage: Recovering}},
		{name: "recover an up site", action: ActionRecover, rejected: true},
		{name: "pause a recovery", action: ActionPause, current: Decision{Stage: Recovering, Step: 3}, want: Decision{Stage: Recovering, Step: 3, Paused: true}},
		{name: "resume a recovery", action: ActionResume, current: Decision{Stage: Recovering, Step: 3, Paused: true}, want: Decision{Stage: Recovering, Step: 3}},
		{name: "pause an up site", action: ActionPause, rejected: true},
		{name: "unknown action", action: "reboot", rejected: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.current.Index = 5
			command := Command{Site: "a", Action: test.action, Author: "ann", Reason: "by phone"}
			got, err := command.Transition(&plan, map[Site]Decision{"a": test.current, "b": test.other})
			if (err != nil) != test.rejected {
				t.Fatalf("error: got %v, want an error: %v", err, test.rejected)
			}
			if err != nil {
				return
			}
			isEqual := got.Stage == test.want.Stage && got.Step == test.want.Step && got.Paused == test.want.Paused &&
				got.RepeatedLosses == test.want.RepeatedLosses
			if !isEqual {
				t.Errorf("decision: got %+v, want %+v", got.Decision, test.want)
			}
			if got.Site != "a" || got.PreviousIndex != 5 || got.DecidedBy != "ann" || got.Reason != "by phone" {
				t.Errorf("transition: got %+v, want one of site a after index 5 by ann with her reason", got)
			}
		})
	}
}
