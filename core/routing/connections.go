package routing

// closeIdle closes the idle connections to a server if leaving them open costs more than opening new ones. It guards against
// caches that reach their connection limit: with hundreds of routers, one connection from each is too many.
func (r *Router) closeIdle(server *server) {
	const oneUse = microsecondsPerSecond / float64(attemptWindow) // less is chance
	meanUse := r.traffic.attempts.at(r.now, attemptWindow) / float64(len(r.endpoints.caches)+1)
	if server.inFlight > 0 {
		return
	}
	if server.attemptRate.at(r.now, attemptWindow)+oneUse < r.config.idleKeepRatio*(meanUse+oneUse) {
		r.decide(Decision{Action: CloseIdle, Server: server.Server})
	}
}
