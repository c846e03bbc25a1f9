package claim

// A Judgement says what the answers of the home hall's hosts come to.
type Judgement int

// The judgements.
const (
	// Dispatch says that nobody has used the key: the request may run.
	Dispatch Judgement = iota + 1
	// AskTable says that a row of the table decides: the request may run if
	// the row is written now and did not exist.
	AskTable
	// Used says that another request with the key was, or may be, dispatched.
	Used
	// CannotKnow says that none of the hosts can know whether the key was
	// used: the request must not run, and may have run before.
	CannotKnow
	// NoHost says that no host could record the claim: the request must not
	// run. It is certain that this one did not.
	NoHost
)

// A Tally counts the answers of the hosts of a key's home hall, which are
// asked one after another in the same order by everybody, so that two who
// claim at once don't each win one.
type Tally struct {
	// Hosts is the number of hosts of the hall.
	Hosts int

	granted int
	unsure  int
	final   Judgement
}

// Add counts one answer, and reports whether the next host is to be asked.
func (t *Tally) Add(v Verdict) bool {
	switch v {
	case Granted:
		t.granted++
	case Unsure:
		t.unsure++
	case Taken:
		t.final = Used
	default:
		t.final = NoHost
	}
	return t.final == 0
}

// Judge returns the judgement. Hosts that could not be reached were not added.
//
// A key that all hosts grant was never granted before: any of them would know.
// A key that one host grants for certain was never granted by all, but maybe
// through the table. When no host is certain, either may have happened.
func (t *Tally) Judge() Judgement {
	switch {
	case t.final != 0:
		return t.final
	case t.granted == t.Hosts:
		return Dispatch
	case t.granted > 0:
		return AskTable
	case t.unsure > 0:
		return CannotKnow
	default:
		return NoHost
	}
}
