// Package controlplane connects a router to the policy of its fleet. Package policycommit decides; this package gives it a
// network, a clock, a raft log and the router's event loop.
//
// Every router with a policy has a Node, which renews the router's lease and applies the active revision. The routers that the
// operator's file names as keepers are the voters: their nodes have a raft log (hashicorp/raft), and the node that leads raft
// also answers renewals, resolves changes and coordinates the loss of a site. Messages between nodes go over the transport of the
// fleet (fleet.Transport) and may be lost.
//
// The program calls Join at its start and Close at its end; the admin endpoint calls Policy and HandleRequest. A Node runs goroutines of its
// own, which share its state under Node.mu; none of them blocks the router's event loop.
//
//	node.go            Config, Router, Node: its life and its goroutines
//	join.go            from the operator's file to a Node
//	message.go         messages between nodes
//	follower_loop.go   lease and admission of this router
//	applier.go         puts the active revision into force on the router
//	leader_loop.go     renewals, changes and shares, on the leader
//	requests.go        operators' requests, forwarded to the leader and served there
//	bootstrap.go       how a voter joins raft: bootstrap, invitation, restart
//	site_reports.go    load reports and orders on sites, of this router
//	site_leader.go     the coordinator of sites, on the leader
//	raft_log.go        the raft log of a voter; its state, identity, store, transport and voters in the other raft_ files
package controlplane
