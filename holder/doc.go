// Package holder runs the placement of one hall on the entry host that holds
// the hall's lease.
//
// A [Holder] runs on every entry host. It keeps trying for the lease (package
// lease); while it has it, a tenure loads what the former holder left, lists
// what the workers run, settles every difference, and then decides (package
// place), makes each decision last (package recordlog) and only then acts on
// it. Right before each act it asks again whether the lease still stands.
//
// A task is started elsewhere only when its worker reported its end, or when
// every lease that any holder could have granted on that worker has lapsed
// with a margin.
package holder
