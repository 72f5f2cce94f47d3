package routing

// closeIdle closes the idle connections to a server if keeping them open costs more than opening new ones. It prevents caches
// from reaching their connection limit: with hundreds of routers, one connection from each is too many.
func (r *Router) closeIdle(server *server) {
	const oneAttempt = microsecondsPerSecond / float64(attemptWindow) // the rate of one attempt: smaller differences are chance
	meanRate := r.traffic.attempts.at(r.now, attemptWindow) / float64(len(r.endpoints.caches)+1)
	if server.inFlight > 0 {
		return
	}
	if server.attemptRate.at(r.now, attemptWindow)+oneAttempt < r.config.idleKeepRatio*(meanRate+oneAttempt) {
		r.decide(Decision{Action: CloseIdle, Server: server.Server})
	}
}
