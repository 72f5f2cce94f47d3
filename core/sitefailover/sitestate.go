package sitefailover

import (
	"fmt"

	"spurtrestle/core/clock"
)

const (
	// repeatedLossWindow is the time after a recovery within which a loss counts as a repeated one.
	repeatedLossWindow = 60 * clock.Second
	// maxRecoveryWait bounds the doubling of Plan.RecoverAfter.
	maxRecoveryWait = 10_000 * clock.Second
	// maxWaitDoublings prevents an overflow of the doubled Duration.
	maxWaitDoublings = 20

	// healthyFraction of its servers must respond before the next step of a recovery. An up site below it is degraded.
	healthyFraction = 0.8
	// maxOriginSlowdown is the slowdown of the origin above which no recovery step is taken.
	maxOriginSlowdown = 1.5
)

// siteState is the leader's state of one site.
type siteState struct {
	decision         Decision
	decidedAt        clock.Time // when this leader first saw the decision
	failedAtDecision float64    // fraction of the admitted weight that failed at that time
	lossSince        clock.Time // when the evidence of a loss began; 0: no evidence
	recoverySince    clock.Time // when the evidence of a recovery began; 0: no evidence
	servers          int        // highest number that was expected
	peakRate         float64    // highest recent rate of answers while up, per second
	peakAt           clock.Time
}

// setDecision records the current decision. A new decision resets the evidence.
func (s *siteState) setDecision(now clock.Time, decision Decision, failedFraction float64) {
	if s.decision.Index != decision.Index {
		s.decidedAt, s.failedAtDecision = now, failedFraction
		s.lossSince, s.recoverySince = 0, 0
	}
	s.decision = decision
}

// observe records how long the evidence has justified a transition, and the site's size and peak rate.
func (s *siteState) observe(now clock.Time, observed evidence) {
	isLost := s.decision.Stage == Up && observed.showsLoss()
	isLostAgain := s.decision.Stage == Recovering && (observed.showsLoss() || observed.showsPartialLoss())
	isBack := s.decision.Stage == Lost && observed.showsRecovery()
	s.lossSince = conditionStart(now, s.lossSince, isLost || isLostAgain)
	s.recoverySince = conditionStart(now, s.recoverySince, isBack)
	s.servers = max(s.servers, observed.expectedServers)
	peakExpired := now-s.peakAt > serverCountWindow
	if s.decision.Stage == Up && (observed.answerRate >= s.peakRate || peakExpired) {
		s.peakRate, s.peakAt = observed.answerRate, now
	}
}

// conditionStart returns when a condition began, given the last result; 0 if the condition is false.
func conditionStart(now, last clock.Time, isTrue bool) clock.Time {
	switch {
	case !isTrue:
		return 0
	case last == 0:
		return now
	default:
		return last
	}
}

// hasLasted reports whether a condition that began at since has lasted for a duration.
func hasLasted(now, since clock.Time, duration clock.Duration) bool {
	return since != 0 && now-since >= duration
}

// proposal is a transition that is due, or the condition that the next one waits for. The texts of conditions and reasons are part
// of replies and of the raft log, and must not change.
type proposal struct {
	transition *Transition
	waitingFor string
}

func waitFor(format string, arguments ...any) proposal {
	return proposal{waitingFor: fmt.Sprintf(format, arguments...)}
}

func propose(decision Decision, format string, arguments ...any) proposal {
	return proposal{transition: newTransition(decision, fmt.Sprintf(format, arguments...))}
}

// next evaluates the transitions of the state machine that are caused by evidence, see the package comment.
func (s *siteState) next(now clock.Time, plan *Plan, observed evidence, fleet traffic) proposal {
	switch {
	case s.decision.Stage == Up:
		return s.nextFromUp(now, plan, observed)
	case s.decision.Stage == Recovering && hasLasted(now, s.lossSince, plan.LostAfter/2):
		repeatedLoss := Decision{Stage: Lost, RepeatedLosses: s.decision.RepeatedLosses + 1}
		return propose(repeatedLoss, "%.0f%% of its servers answer, in step %d of its return", 100*observed.responding, s.decision.Step+1)
	case s.decision.Paused:
		return waitFor("an operator holds it")
	case s.decision.Stage == Lost:
		return s.nextFromLost(now, plan, observed)
	default:
		return s.nextFromRecovering(now, plan, observed, fleet)
	}
}

func (s *siteState) nextFromUp(now clock.Time, plan *Plan, observed evidence) proposal {
	if s.lossSince == 0 {
		return proposal{}
	}
	if !hasLasted(now, s.lossSince, plan.LostAfter) {
		return waitFor("the evidence of its loss is to hold")
	}
	loss := Decision{Stage: Lost}
	// A site that is up and has a decision has recovered before, by evidence or by an operator.
	hasRecovered := s.decision.Index > 0
	recoveredRecently := hasRecovered && now-s.decidedAt < repeatedLossWindow
	if recoveredRecently {
		loss.RepeatedLosses = s.decision.RepeatedLosses + 1
	}
	return propose(loss, "%d of %d other sites find its servers silent, and %d of its %d routers are heard",
		observed.sitesFindingSilent, observed.otherSites, observed.reportingRouters, observed.routers)
}

func (s *siteState) nextFromLost(now clock.Time, plan *Plan, observed evidence) proposal {
	wait := min(maxRecoveryWait, plan.RecoverAfter<<min(s.decision.RepeatedLosses, maxWaitDoublings))
	switch {
	case s.recoverySince == 0 && 2*observed.reportingRouters < observed.routers:
		return waitFor("%d of its %d routers are heard", observed.reportingRouters, observed.routers)
	case s.recoverySince == 0:
		return waitFor("%.0f%% of its servers are listed, and %.0f%% answer at the site", 100*observed.listed, 100*observed.respondingLocally)
	case !hasLasted(now, s.recoverySince, wait):
		return waitFor("it is to be there for %.1f s", float64(wait)/float64(clock.Second))
	}
	recovery := Decision{Stage: Recovering, RepeatedLosses: s.decision.RepeatedLosses}
	return propose(recovery, "its routers and servers are there again")
}

func (s *siteState) nextFromRecovering(now clock.Time, plan *Plan, observed evidence, fleet traffic) proposal {
	// Failures are compared with those before the step, so that the overload during the outage does not block the recovery.
	maxFailedFraction := s.failedAtDecision + highFailedFraction
	switch {
	case now-s.decidedAt < plan.MinStepDuration:
		return waitFor("the step has just been taken")
	case observed.responding < healthyFraction:
		return waitFor("%.0f%% of its servers answer", 100*observed.responding)
	case fleet.failedFraction > maxFailedFraction:
		return waitFor("%.0f%% of what is let in is given up, and %.0f%% was before the step", 100*fleet.failedFraction, 100*s.failedAtDecision)
	case fleet.originSlowdown > maxOriginSlowdown:
		return waitFor("the origin takes %.1f times as long as it should", fleet.originSlowdown)
	}
	nextStep := s.decision.Step + 1
	if nextStep < len(plan.RecoverySteps) {
		step := Decision{Stage: Recovering, Step: nextStep, RepeatedLosses: s.decision.RepeatedLosses}
		return propose(step, "step %d held", nextStep)
	}
	return propose(Decision{Stage: Up, RepeatedLosses: s.decision.RepeatedLosses}, "the last step held")
}
