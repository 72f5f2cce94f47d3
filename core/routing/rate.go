package routing

import (
	"math"

	"spurtrestle/core/clock"
)

// microsecondsPerSecond converts between rates per second and durations.
const microsecondsPerSecond = float64(clock.Second)

// decayingRate is a rate per second, averaged over a window with exponential decay. All calls on one rate must use the same
// window.
type decayingRate struct {
	perSecond float64
	updatedAt clock.Time
}

// at returns the rate at an instant.
func (d *decayingRate) at(now clock.Time, window clock.Duration) float64 {
	if now > d.updatedAt {
		d.perSecond *= math.Exp(-float64(now-d.updatedAt) / float64(window))
		d.updatedAt = now
	}
	return d.perSecond
}

// add counts one event at an instant.
func (d *decayingRate) add(now clock.Time, window clock.Duration) { d.addWeighted(1, now, window) }

// addWeighted counts an event with a weight.
func (d *decayingRate) addWeighted(weight float64, now clock.Time, window clock.Duration) {
	d.perSecond = d.at(now, window) + weight*microsecondsPerSecond/float64(window)
}

// windowCovered returns the fraction of a decaying window that the router's running time covers. Rates start at zero and reach
// their true value as it reaches one.
func (r *Router) windowCovered(window clock.Duration) float64 {
	return coveredFraction(r.now+1-r.startedAt, window) // never zero, since rates are divided by it
}

// coveredFraction returns the fraction of a decaying window that an observation of a duration covers.
func coveredFraction(observedFor, window clock.Duration) float64 {
	return 1 - math.Exp(-float64(observedFor)/float64(window))
}

// correctedRate returns a rate corrected for the part of its window before the router started.
func (r *Router) correctedRate(rate *decayingRate, window clock.Duration) float64 {
	return rate.at(r.now, window) / r.windowCovered(window)
}
