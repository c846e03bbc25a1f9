// Package intent validates an operator's intent, computes the plan for it and
// caches plans until they expire.
//
// A plan takes effect only when it is confirmed. It is then applied exactly as
// it was shown or rejected as stale, so that the intents of two concurrent
// operators are never mixed; package place decides which. Confirming a plan
// again after the response was lost is safe: the confirmation is a record in
// the hall's journal.
//
// Plans are cached in the memory of the host that holds the hall's lease. When
// another host takes over the lease, the plans are lost and confirming one
// fails because it is not known. Nothing was changed then, and the operator
// can request a new plan.
package intent
