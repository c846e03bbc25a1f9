package sched

import "time"

// EntriesSynced takes in that all changes of the workers' entries before a time are known.
func (s *State) EntriesSynced(now, sent time.Time) {
	s.now = now
	if sent.After(s.entriesAsOf) {
		s.entriesAsOf = sent
	}
}

// entriesFresh reports whether workers' rooms are known well enough for something to be
// started: a worker that does not guard its room would else be brought over it.
func (s *State) entriesFresh() bool {
	return s.config.EntriesAge == 0 || s.now.Sub(s.entriesAsOf) <= s.config.EntriesAge
}

// hasRoom reports whether all that is in a worker's account fits it, what is being
// stopped and what may yet start there included. Its room may have shrunk since some of
// that was decided.
func (w *worker) hasRoom() bool {
	return !w.free().Negative()
}
