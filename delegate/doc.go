// Package delegate decides which host carries out the leader's calls to a worker.
//
// The load that it answers is that of a large cell: with 1,100 workers a leader makes
// some 4,400 calls a second to them, each 75 us of processor, and their bytes on its
// link, which is more than most hosts have. The decisions and the fencing stay with the
// leader: a delegate only carries one call out, as the network does, and keeps nothing.
// So no assignment has to be agreed on, and whoever is asked instead of a delegate that
// fails may be asked at once: an order that arrives late, or twice, is bounded by what
// it carries, its epoch, its run and its deadline on the worker's clock.
//
// A worker's delegate is chosen by weighted rendezvous among the hosts of its hall, and
// among all hosts where there are none: when a host comes or goes, only the workers
// that it has, or gets, change theirs.
package delegate
