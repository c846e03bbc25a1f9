package claim

// A Decision is the combined result of the verdicts of the home hall's hosts.
type Decision int

// Decisions.
const (
	// Dispatch means that the key is unused and the request may run.
	Dispatch Decision = iota + 1
	// AskTable means that the platform's table decides: the request may run if
	// a conditional insert of the key's row succeeds.
	AskTable
	// KeyUsed means that another request with the key was, or may be,
	// dispatched.
	KeyUsed
	// Undetermined means that none of the hosts can tell whether the key was
	// used. The request must not run, and an earlier request with the key may
	// have run.
	Undetermined
	// NotRecorded means that the claim could not be recorded. The request has
	// not run and must not run.
	NotRecorded
)

// A Tally combines the verdicts of the hosts of a key's home hall. All
// dispatchers must query the hosts one at a time and in the same order, so
// that two concurrent claims are not each granted by some of the hosts.
type Tally struct {
	// Hosts is the number of hosts in the hall.
	Hosts int

	granted   int
	uncertain int
	decided   Decision
}

// Add counts the verdict of one host and reports whether the next host has to
// be queried.
func (t *Tally) Add(v Verdict) bool {
	switch v {
	case Granted:
		t.granted++
	case Uncertain:
		t.uncertain++
	case Taken:
		t.decided = KeyUsed
	default:
		t.decided = NotRecorded
	}
	return t.decided == 0
}

// Decide returns the decision. A host that could not be reached has no verdict.
//
// If all hosts grant a key, no other request with it has run, since at least one
// of the hosts would know. If only some of them grant it, no other request was
// granted the key by all hosts, but one may have run by decision of the table.
// If no host grants the key, but some answer [Uncertain], either may have
// happened.
func (t *Tally) Decide() Decision {
	switch {
	case t.decided != 0:
		return t.decided
	case t.granted == t.Hosts:
		return Dispatch
	case t.granted > 0:
		return AskTable
	case t.uncertain > 0:
		return Undetermined
	default:
		return NotRecorded
	}
}
