// Package node is a host of the cell: it serves clients, and one of the hosts
// leads.
//
// Every host accepts and cancels jobs by itself, straight in the store, and
// asks the leader for states. A host that the store turns away hands what it
// gets to the leader. Hosts call the leader a few times a second; when it is
// silent, or writes nothing any more, and its row in the store does not change
// either, another host takes over.
package node
