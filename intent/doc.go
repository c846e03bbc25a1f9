// Package intent validates an operator's intent, computes the plan for it and
// caches plans until they expire.
//
// A plan takes effect only when it is confirmed. It is then applied exactly as
// it was shown or, if package place finds that the state has changed, rejected
// as stale, so that the changes of two concurrent operators are never mixed. A
// confirmation is a record in the hall's journal, so it is safe to repeat one
// whose response was lost.
//
// Plans are cached in the memory of the host that holds the hall's lease. When
// another host takes over the lease, plans that were not confirmed are lost, and
// confirming one fails without any change. The operator can then request a new
// plan.
package intent
