package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

const (
	// clockSlack is how much slower than ours a worker's clock may run; the
	// platform says at most 2%.
	clockSlack = 0.02
	// leaseMargin covers timers that go off late, on both sides.
	leaseMargin = 250 * time.Millisecond
	// silentAfter is how old a worker's last answer may be before nothing new
	// is started there: a heartbeat that waited for an end for half a second,
	// one answer that got lost, and the next heartbeat.
	silentAfter = 900 * time.Millisecond
	// leaseLeft is how much of its lease a worker must have left to be given
	// something new.
	leaseLeft = time.Second
	// lateMost is for how long a worker whose entry went is looked at though nothing
	// is known to run there: orders without an answer are carried out up to 12 s
	// later, by the platform's word, and the last one may just have been sent.
	lateMost = 14 * time.Second
	// unwellFor is how long a worker that turned an order away is left alone.
	unwellFor = 700 * time.Millisecond
)

// A worker is one life of a machine and the account of its runs.
type worker struct {
	Worker
	id spoolsill.WorkerID
	// born is that of this life, zero until it is told; former are those of lives before.
	born   spoolsill.Birth
	former []spoolsill.Birth
	// crashed tells that the life before this one ended otherwise than as announced.
	crashed bool
	// restarts counts the lives before this one that are known.
	restarts int
	listed   bool
	dead     bool
	// closed tells that the account is not looked at: the worker is not listed
	// and has no runs. It is opened again when the worker is back.
	closed bool
	used   spoolsill.Resources
	runs   map[RunID]*run
	// seen is the highest end of this life that was taken in: the next one counts from 1
	// again, and its ends would be taken for those of this one.
	seen uint64
	// answered is when the latest heartbeat answer came under our leadership.
	answered time.Time
	// leased is until when, by our clock, its lease may last; renewed is
	// until when we have asked for it.
	leased  time.Time
	renewed time.Time
	// strays are the runs that it has and no record names, by when the next order
	// to stop them is due.
	strays map[RunID]time.Time
	// leaves is when a worker that drains, or is no longer listed, may be gone
	// at the earliest; unlisted is when its entry went.
	leaves   time.Time
	unlisted time.Time
	// lapsed is until when a worker whose entry went with an outage of the
	// store is taken as listed.
	lapsed time.Time
	unwell time.Time // nothing new before
	// silent tells that an order had no answer: nothing new until it answers.
	silent bool
	// unclear tells that its entry names no worker to use: it gets nothing new, and keeps
	// its lease and its runs, until the entry does again.
	unclear bool
	// missed tells that its runs were given up since its lease was over.
	missed bool
	ready  bool // takes something new, as of the pass under way
	health health
	// trials are the runs of tasks under which workers went.
	trials []*run
}

// worker returns the account of a worker, and opens it when there is none.
func (s *State) worker(id spoolsill.WorkerID) *worker {
	w := s.workers[id]
	if w != nil {
		s.reopen(w)
		return w
	}
	w = newWorker(id)
	w.leased = s.config.TakenOver.Add(s.config.InheritedLease)
	s.workers[id] = w
	s.order = append(s.order, w)
	return w
}

func newWorker(id spoolsill.WorkerID) *worker {
	return &worker{
		id:     id,
		runs:   map[RunID]*run{},
		strays: map[RunID]time.Time{},
	}
}

// reopen has the account of a worker that is back looked at again. It is the
// same one: what the advisor said of this life of the worker, and what is known
// of its health, still holds.
func (s *State) reopen(w *worker) {
	if !w.closed {
		return
	}
	w.closed = false
	s.order = append(s.order, w)
}

// ListWorker takes in a worker as the platform lists it.
func (s *State) ListWorker(now time.Time, l Worker) {
	s.now = now
	w := s.meet(l.Life(), "its entry")
	if w == nil || w.dead {
		return
	}
	if l.Draining && !w.Draining {
		s.noteWorker(w, "draining", 0)
		w.leaves = now.Add(l.Remaining)
	}
	if !w.listed {
		s.noteWorker(w, "listed", 0)
	}
	if w.unclear {
		s.noteWorker(w, "its entry is whole again", 0)
	}
	w.listed = true
	w.unclear = false
	w.lapsed = time.Time{}
	w.Worker = l
	s.endOlderLives(w)
}

// WorkerUnclear takes in that a worker's entry can't be understood, as if someone else
// had written it. One that is not known from before is none.
func (s *State) WorkerUnclear(now time.Time, id spoolsill.WorkerID) {
	s.now = now
	w := s.workers[id]
	if w == nil || w.unclear || w.dead {
		return
	}
	w.unclear = true
	s.noteWorker(w, "its entry can't be understood", now.Sub(w.answered))
}

// endOlderLives declares the other lives of a machine dead: a machine has one
// life at a time, and this one was listed later.
func (s *State) endOlderLives(w *worker) {
	if w.Machine == "" {
		return
	}
	lives := s.lives[w.Machine]
	if !slices.Contains(lives, w) {
		s.lives[w.Machine] = append(lives, w)
	}
	for _, o := range slices.Clone(lives) {
		if o != w && !o.listed {
			s.declareDead(o, "machine has a new life")
		}
	}
}

// endLife takes a dead life off its machine's list.
func (s *State) endLife(w *worker) {
	lives := slices.DeleteFunc(s.lives[w.Machine], func(o *worker) bool { return o == w })
	s.lives[w.Machine] = lives
	if len(lives) == 0 {
		delete(s.lives, w.Machine)
	}
}

// UnlistWorker takes in that the platform lists a worker no more. It may still
// run what it has.
func (s *State) UnlistWorker(now time.Time, id spoolsill.WorkerID) {
	s.now = now
	w := s.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	s.noteWorker(w, "no longer listed", now.Sub(w.answered))
	w.unlisted = now
	if !w.Draining {
		w.leaves = now.Add(s.config.DrainTime)
		s.mayHaveLapsed(w)
	}
	for _, o := range s.lives[w.Machine] {
		if o != w && o.listed {
			s.declareDead(w, "machine has a new life")
			return
		}
	}
	s.closeAccount(w)
}

// WorkerDied takes in proof that this life of a worker is over: its address
// answers for another one.
func (s *State) WorkerDied(now time.Time, l spoolsill.Life) {
	s.now = now
	if w := s.account(l); w != nil && !w.dead {
		s.declareDead(w, "its address answers for another life")
	}
}

// WorkerRefused takes in that nothing listens at a worker's address. That alone
// proves nothing, since a cut may look the same; but one that said that it
// leaves, and is no longer listed, has left.
func (s *State) WorkerRefused(now time.Time, l spoolsill.Life) {
	s.now = now
	w := s.account(l)
	if w != nil && !w.dead && w.Draining && !w.listed {
		s.declareDead(w, "it has left as announced")
	}
}

// WorkerSilent takes in that an order to a worker had no answer, and that it has
// answered nothing since. It gets nothing new until it does: of a hall that is cut
// off each start would else be in doubt until a lease is over.
func (s *State) WorkerSilent(now time.Time, l spoolsill.Life) {
	s.now = now
	w := s.account(l)
	if w == nil || w.silent || w.dead {
		return
	}
	w.silent = true
	s.noteWorker(w, "an order had no answer", now.Sub(w.answered))
}

// relistTime is how long after an outage of the store the entries that went with
// it take to be back, by the platform's word: about two seconds.
const relistTime = 2 * time.Second

// StoreBack takes in that the store takes writes again after an outage. Entries
// that went with it say nothing about their workers until they had the time to
// be back.
func (s *State) StoreBack(now time.Time) {
	s.now = now
	s.storeBack = now
	for _, w := range s.order {
		if !w.listed && !w.dead && !w.Draining && now.Sub(w.unlisted) < relistTime {
			s.mayHaveLapsed(w)
		}
	}
}

// mayHaveLapsed has a worker that is no longer listed used on for a while, if
// its entry may have gone with the store.
func (s *State) mayHaveLapsed(w *worker) {
	if s.storeBack.IsZero() || s.now.Sub(s.storeBack) >= relistTime {
		return
	}
	w.lapsed = s.storeBack.Add(relistTime)
	w.leaves = w.lapsed.Add(s.config.DrainTime)
	s.noteWorker(w, "its entry may have gone with the store", s.now.Sub(s.storeBack))
}

// present reports whether a worker is in the cell, as far as entries tell.
func (w *worker) present(now time.Time) bool {
	return w.listed || now.Before(w.lapsed)
}

// leaving reports whether a worker will be gone soon: it says so, or its entry
// went without a word.
func (w *worker) leaving(now time.Time) bool {
	return w.Draining || !w.present(now)
}

// saveLeaving stops what a worker about to leave can't finish, if its progress
// is saved at the stop or it lasts: it goes on elsewhere. What ends with its worker
// is else waited for until the worker's lease is over.
func (s *State) saveLeaving() {
	for _, w := range s.order {
		if !w.leaving(s.now) || w.dead || len(w.runs) == 0 || w.leaves.Sub(s.now) > s.config.StopTime+saveMargin {
			continue
		}
		for _, r := range sortedRuns(w) {
			p := r.task.stage.step
			if (p.Checkpoints || p.Lasting) && r.phase == phaseConfirmed {
				s.stop(r, "its worker leaves")
			}
		}
	}
}

// saveMargin is the time to give a stop order and to hear of its end.
const saveMargin = 400 * time.Millisecond

// LeaseAsked takes in that a call may extend the lease of a worker's life until at most
// the given time by our clock. A call for a former life may reach the next one.
func (s *State) LeaseAsked(l spoolsill.Life, until time.Time) {
	w := s.workers[l.Worker]
	if w == nil {
		return
	}
	if until.After(w.renewed) && w.life().Matches(l.Born) {
		w.renewed = until
	}
	if until.After(w.leased) {
		w.leased = until
	}
}

// endInheritance is called with a worker's first answer to us: from then on it
// refuses former leaders, and no lease is longer than the longest.
func (s *State) endInheritance(w *worker) {
	most := LeaseEnd(s.now, s.config.Lease)
	if w.leased.After(most) {
		w.leased = most
	}
}

// LeaseEnd returns the latest time, by a clock that may run faster than the
// worker's, at which a lease of length d asked for now has ended.
func LeaseEnd(now time.Time, d time.Duration) time.Time {
	return now.Add(d + time.Duration(float64(d)*clockSlack) + leaseMargin)
}

// declareDead drops all runs of a worker that is certainly gone.
func (s *State) declareDead(w *worker, reason string) {
	crashed := !w.takenAway()
	w.dead = true
	w.listed = false
	s.endLife(w)
	s.noteWorker(w, "dead: "+reason, s.now.Sub(w.answered))
	if crashed {
		s.confirmSuspicion(w)
	}
	s.dropRuns(w, reason, crashed)
	s.closeAccount(w)
}

// dropRuns takes in that all that a worker ran is gone with it: its life is over, or
// it has been out of reach for longer than its lease. That counts against the tasks:
// one that crashes its workers lists no end, and would be started again for ever.
func (s *State) dropRuns(w *worker, reason string, over bool) {
	rs := sortedRuns(w)
	s.suspectRuns(w, rs, over, reason)
	for _, r := range rs {
		r.task.stage.job.account.Lost++
		s.lose(r, reason)
	}
	for _, r := range rs {
		s.giveUp(r.task.stage)
	}
}

func sortedRuns(w *worker) []*run {
	rs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return rs
}

// closeAccount closes the account of a worker that is not listed and has no
// runs. Dead ones stay as they are, so that a late list entry does not revive
// them.
func (s *State) closeAccount(w *worker) {
	if w.present(s.now) || len(w.runs) > 0 || w.dead {
		return
	}
	if s.now.Before(w.leased) {
		return
	}
	w.closed = true
	w.ready = false
	s.order = slices.DeleteFunc(s.order, func(o *worker) bool { return o == w })
}

// expireLeases drops the runs of workers that have been silent for so long
// that their leases are over.
func (s *State) expireLeases() {
	for _, w := range slices.Clone(s.order) {
		if w.dead || s.now.Before(w.leased) {
			continue
		}
		if len(w.runs) > 0 {
			s.noteWorker(w, "lease is over", s.now.Sub(w.answered))
			w.missed = true
			s.dropRuns(w, "lease is over", false)
		}
		s.closeAccount(w)
	}
}

func (s *State) noteWorker(w *worker, reason string, age time.Duration) {
	s.note(Note{
		Kind:   NoteWorker,
		Worker: w.id,
		Reason: reason,
		Age:    age,
	})
}

// takes reports whether something new may be started at w now. Its lease must
// have been renewed: a worker that answers again after a silence may be about
// to end all that it runs.
func (w *worker) takes(now time.Time) bool {
	return w.present(now) && !w.unclear && !w.Draining && !w.dead && len(w.strays) == 0 &&
		now.Sub(w.answered) < silentAfter && !w.silent && !now.Before(w.unwell) &&
		w.renewed.Sub(now) > leaseLeft
}

func (w *worker) free() spoolsill.Resources {
	return w.Capacity.Sub(w.used)
}

// CheckRoom returns an error when the runs of a worker need more than
// it has, or are counted wrong. It is meant for tests.
func (s *State) CheckRoom() error {
	for _, w := range s.order {
		var sum spoolsill.Resources
		for _, r := range w.runs {
			sum = sum.Add(r.need)
		}
		if sum != w.used {
			return fmt.Errorf("worker %s: account says %v, runs need %v", w.id, w.used, sum)
		}
		if w.present(s.now) && !w.hasRoom() {
			return fmt.Errorf("worker %s: %v used of %v", w.id, w.used, w.Capacity)
		}
	}
	return nil
}
