// Package node implements a host of the cell. Every host serves clients, and one of the
// hosts is the leader.
//
// Each host accepts and cancels jobs directly in the store and queries the leader for
// job states. A host that cannot reach the store forwards requests to the leader. Hosts
// send heartbeats to the leader several times a second. When the leader stops
// responding or its writes stop succeeding, and its row in the store stops changing,
// another host takes over.
package node
