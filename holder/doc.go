// Package holder places the tasks of one hall, on the entry host that holds
// the hall's lease.
//
// A [Holder] runs on every entry host and competes for the lease (package
// lease). A tenure is the time for which it holds the lease under one epoch.
// It loads the state that the previous holder left and reconciles it with what
// the workers run. After that it makes placement decisions
// (package place), writes each of them to the journal (package recordlog), and
// acts on a decision only once it is durable. It verifies that it still holds
// the lease before each request to a worker.
//
// A task is started on another worker only after its worker has reported its
// end, or after every lease that any holder may have granted on that worker has
// expired, plus a margin.
package holder
