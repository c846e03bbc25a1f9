// Package holder places the tasks of one hall, on the entry host that holds
// the hall's lease.
//
// A [Holder] runs on every entry host and competes for the lease (package
// lease). A tenure is the time during which it holds the lease under one epoch.
// In a tenure, it first loads the state that the previous holder recorded,
// and reconciles it with the tasks that the workers run. It then makes placement
// decisions (package place), appends each of them to the journal (package
// recordlog), and acts on a decision only once it is durable. Before each
// request to a worker, it verifies that it still holds the lease. Without the
// lease, it only renews the task leases of services.
//
// A task is started on another worker only after its worker has reported its
// end, or after every lease that any holder may have granted on that worker has
// expired, plus a margin.
package holder
