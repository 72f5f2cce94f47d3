// Package controlplane connects a router to the policy of its fleet. The protocol is implemented in core/policycommit, and the
// failover of sites in core/sitefailover; this package connects them to the network, the clock, the raft log and the router.
//
// Every router of a fleet with a policy has a Node, which renews the router's lease and applies the active revision. The routers
// that the operator's file lists as keepers are the voters: their nodes have a raft log (hashicorp/raft). The node of the raft
// leader also answers renewals, resolves changes and coordinates the failover of sites. Nodes exchange messages over the
// transport of the fleet (fleet.Transport), which may lose them.
//
// The program calls Join when it starts and Close when it ends; the admin endpoint calls Policy and HandleRequest. A Node runs
// several goroutines, which share its state under Node.mu. None of them blocks the router's event loop.
//
//	node.go            Config, Router, and the lifecycle of a Node
//	join.go            starts a Node with the settings of the operator's file
//	message.go         messages between nodes
//	follower_loop.go   renews the lease and sets the admission deadline of this router
//	applier.go         applies the active revision to the router
//	leader_loop.go     answers renewals, resolves changes and leases out shares, on the leader
//	requests.go        forwards operators' requests to the leader, and serves them there
//	bootstrap.go       how a voter joins raft: bootstrap, invitation or restart
//	site_reports.go    reports the load of this router, and applies the leader's site orders
//	site_leader.go     coordinates the failover of sites, on the leader
//	raft_log.go        the raft log of a voter
//	raft_*.go          its replicated state, identity, store, transport and voters
package controlplane
