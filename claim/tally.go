package claim

// A Judgement is the combined result of the verdicts of the home hall's hosts.
type Judgement int

// Judgements.
const (
	// Dispatch means that the key is unused and the request may run.
	Dispatch Judgement = iota + 1
	// AskTable means that the platform's table decides: the request may run if
	// a conditional insert of the key's row succeeds.
	AskTable
	// Used means that another request with the key was, or may be, dispatched.
	Used
	// CannotKnow means that none of the hosts can tell whether the key was
	// used. The request must not run, and an earlier request with the key may
	// have run.
	CannotKnow
	// NoHost means that the claim could not be recorded. The request has not
	// run and must not run.
	NoHost
)

// A Tally combines the verdicts of the hosts of a key's home hall. All
// dispatchers must query the hosts one at a time and in the same order, so
// that two concurrent claims are not each granted by some of the hosts.
type Tally struct {
	// Hosts is the number of hosts in the hall.
	Hosts int

	granted   int
	uncertain int
	decided   Judgement
}

// Add counts one verdict and reports whether to query the next host.
func (t *Tally) Add(v Verdict) bool {
	switch v {
	case Granted:
		t.granted++
	case Unsure:
		t.uncertain++
	case Taken:
		t.decided = Used
	default:
		t.decided = NoHost
	}
	return t.decided == 0
}

// Judge returns the judgement. Hosts that could not be reached are not added.
//
// If all hosts grant a key, it has not been granted before, since any of them
// would know. If at least one host grants it, it has not been granted by all
// hosts, but possibly through the table. If no host grants it, but some answer
// Unsure, either may have happened.
func (t *Tally) Judge() Judgement {
	switch {
	case t.decided != 0:
		return t.decided
	case t.granted == t.Hosts:
		return Dispatch
	case t.granted > 0:
		return AskTable
	case t.uncertain > 0:
		return CannotKnow
	default:
		return NoHost
	}
}
