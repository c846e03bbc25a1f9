// Package delegate chooses the hosts that carry out the leader's calls to workers.
//
// It serves large cells: with 1,100 busy workers a leader makes about 4,400 calls a second to
// them. Each takes 75 us of processor time, and their traffic adds to the leader's link; both are
// more than most hosts have. Decisions and fencing stay with the leader. A delegate only forwards
// a call, as the network does. It keeps nothing but the addresses of the workers that it calls in
// groups, and the leader sends them again when it has lost them, so hosts need not agree on an
// assignment. When a delegate fails, another one can be used at once: the effect of an order that
// arrives late or twice is bounded by its epoch, its run and its deadline on the worker's clock.
//
// The delegate of a worker is chosen by weighted rendezvous hashing among the hosts of its hall,
// or among all hosts if the hall has none. When a host is added or removed, only the workers
// that it gets or had change their delegate.
package delegate
