// Package intent turns what an operator wants into a plan, and keeps plans
// until they are confirmed or expire.
//
// Nothing happens until a plan is confirmed. A plan is confirmed as it was
// shown or refused as stale, so that two operators who race each other never
// get a mixture of their intents; package place decides which. Confirming a
// plan again after its answer was lost is safe: the confirmation is one of
// the records of the hall's journal.
//
// Plans are kept in the memory of the hall's holder. When the holder changes
// they are gone, and confirming one answers that it is not known: nothing was
// changed, and a new plan can be asked for.
package intent
