package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

const (
	// maxClockDrift is how much slower than the leader's a worker's clock may run; the
	// platform specifies at most 2%.
	maxClockDrift = 0.02
	// leaseMargin covers timers that fire late at the leader and at the worker.
	leaseMargin = 250 * time.Millisecond
	// maxAnswerAge is the age of a worker's last answer from which on nothing new is
	// started there. It covers a heartbeat that waited half a second for an end, one
	// lost answer, and the next heartbeat.
	maxAnswerAge = 900 * time.Millisecond
	// minLeaseLeft is how much of its lease a worker must have left to be given
	// something new.
	minLeaseLeft = time.Second
	// lateStartWindow is how long a worker whose entry was deleted is still contacted although
	// it has no known runs. The platform specifies that an unanswered order may be
	// carried out up to 12 s later, and the last one may have been sent just before.
	lateStartWindow = 14 * time.Second
	// rejectBackoff is how long nothing new is started at a worker that rejected a start
	// as unhealthy or did not answer it.
	rejectBackoff = 700 * time.Millisecond
)

// A worker is the state of one incarnation of a worker and of its runs.
type worker struct {
	Worker
	id spoolsill.WorkerID
	// startTime is the start time of this incarnation, zero until it is known; former are
	// the start times of earlier incarnations.
	startTime spoolsill.StartTime
	former    []spoolsill.StartTime
	// crashed is set when the incarnation before this one ended otherwise than announced.
	crashed bool
	// disproved is set for an incarnation that there never was.
	disproved bool
	// restarts counts the known earlier incarnations.
	restarts int
	listed   bool
	dead     bool
	// inactive is set while the worker is not in State.workerList, since it is not listed
	// and has no runs. It is reset when the worker comes back.
	inactive bool
	used     spoolsill.Resources
	// usedForGood is the part of used that no run gives back by itself; see run.lasts.
	usedForGood spoolsill.Resources
	// usedBeside is the part of used by the runs with run.beside set.
	usedBeside spoolsill.Resources
	runs       map[RunID]*run
	// lastEndSeen is the highest sequence of the ends received from this incarnation. It
	// does not apply to the next incarnation, which counts from 1 again: its ends would be
	// taken for duplicates.
	lastEndSeen uint64
	// answeredAt is when the latest heartbeat was received under this leadership.
	answeredAt time.Time
	// leaseUntil is the latest time, by the leader's clock, at which its lease may end;
	// renewedUntil is the time until which this leader has requested it. leaseInherited is set
	// while only former leaders can have requested it.
	leaseUntil     time.Time
	renewedUntil   time.Time
	leaseInherited bool
	// unknownRuns are the runs that it lists and of which there is no record, with the time
	// at which the next order to stop them is due.
	unknownRuns map[RunID]time.Time
	// earliestExit is the earliest time at which a worker that drains, or is no longer
	// listed, may exit; unlistedAt is when its entry was deleted.
	earliestExit time.Time
	unlistedAt   time.Time
	// rewrittenAfter is a time before the latest known rewrite of its entry; zero if none is
	// known.
	rewrittenAfter time.Time
	// withdrawn is set while the worker is not listed and its entry was certainly deleted
	// rather than expired.
	withdrawn bool
	// graceUntil is until when a worker whose entry was lost in an outage of the store
	// is treated as listed.
	graceUntil   time.Time
	backoffUntil time.Time // nothing new is started before
	// unresponsive is set while an order had no answer and the worker has not answered
	// since: nothing new is started there.
	unresponsive bool
	// entryInvalid is set while its entry can't be decoded: nothing new is started
	// there, but its lease is renewed and its runs are kept.
	entryInvalid bool
	// leaseExpired is set when its runs were dropped because its lease had expired.
	leaseExpired bool
	ready        bool // accepts something new, as of the current pass
	// avoided is set while it gets no new tasks because of failures, as of the current pass.
	avoided bool
	// reservation is by which the worker is kept for a stage in the current pass, or nil.
	reservation *reservation
	health      health
	// soonFree is what is expected to become free here, for stages of decider.forecastFor.
	soonFree spoolsill.Resources
	// trials are the runs of suspect tasks.
	trials []*run
}

// worker returns the state of a worker's latest incarnation, which is created if there is
// none.
func (s *State) worker(id spoolsill.WorkerID) *worker {
	w := s.workers[id]
	if w != nil {
		s.reactivate(w)
		return w
	}
	w = newWorker(id)
	w.leaseUntil = s.inheritedUntil
	w.leaseInherited = true
	s.workers[id] = w
	s.workerList = append(s.workerList, w)
	return w
}

func newWorker(id spoolsill.WorkerID) *worker {
	return &worker{
		id:          id,
		runs:        map[RunID]*run{},
		unknownRuns: map[RunID]time.Time{},
	}
}

// reactivate adds an inactive worker that is back to the list of workers. Its state is
// kept: the advisor's answers for this incarnation and its health still apply.
func (s *State) reactivate(w *worker) {
	if !w.inactive {
		return
	}
	w.inactive = false
	s.workerList = append(s.workerList, w)
}

// WorkerListed handles a worker's entry in the platform's table.
func (s *State) WorkerListed(now time.Time, l Worker) {
	s.now = now
	w := s.observeIncarnation(l.Incarnation(), "its entry")
	if w == nil || w.dead {
		return
	}
	if l.Draining && !w.Draining {
		s.noteWorker(w, "draining", 0)
		w.earliestExit = now.Add(l.Remaining)
	}
	if !w.listed && !s.entriesAsOf.IsZero() { // the first listing has all workers of the cell
		s.noteWorker(w, "listed", 0)
	}
	if w.entryInvalid {
		s.noteWorker(w, "its entry is whole again", 0)
	}
	if w.Version != 0 && l.Version > w.Version {
		w.rewrittenAfter = s.entriesAsOf
	}
	w.listed = true
	w.withdrawn = false
	w.entryInvalid = false
	w.graceUntil = time.Time{}
	w.Worker = l
	s.declareOlderIncarnationsDead(w)
}

// WorkerEntryInvalid records that a worker's entry can't be decoded, for example because
// another program has overwritten it. It is ignored for workers that are not known.
func (s *State) WorkerEntryInvalid(now time.Time, id spoolsill.WorkerID) {
	s.now = now
	w := s.workers[id]
	if w == nil || w.entryInvalid || w.dead {
		return
	}
	w.entryInvalid = true
	s.noteWorker(w, "its entry can't be decoded", now.Sub(w.answeredAt))
}

// declareOlderIncarnationsDead declares the unlisted other incarnations of a machine dead: a
// machine has one incarnation at a time, and this one was listed later.
func (s *State) declareOlderIncarnationsDead(w *worker) {
	if w.Machine == "" {
		return
	}
	incarnations := s.incarnations[w.Machine]
	if !slices.Contains(incarnations, w) {
		s.incarnations[w.Machine] = append(incarnations, w)
	}
	for _, o := range slices.Clone(incarnations) {
		if o != w && !o.listed {
			s.declareDead(o, "machine has a new life")
		}
	}
}

// removeIncarnation removes a dead incarnation from the list of its machine.
func (s *State) removeIncarnation(w *worker) {
	incarnations := slices.DeleteFunc(s.incarnations[w.Machine], func(o *worker) bool { return o == w })
	s.incarnations[w.Machine] = incarnations
	if len(incarnations) == 0 {
		delete(s.incarnations, w.Machine)
	}
}

// WorkerUnlisted records that a worker's entry was deleted. The worker may continue its
// runs.
func (s *State) WorkerUnlisted(now time.Time, id spoolsill.WorkerID) {
	s.now = now
	w := s.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	s.noteWorker(w, "no longer listed", now.Sub(w.answeredAt))
	w.unlistedAt = now
	w.withdrawn = s.entryWithdrawn(w)
	if !w.Draining {
		w.earliestExit = now.Add(s.config.DrainTime)
		s.startOutageGrace(w)
	}
	for _, o := range s.incarnations[w.Machine] {
		if o != w && o.listed {
			s.declareDead(w, "machine has a new life")
			return
		}
	}
	s.deactivateIfUnused(w)
}

// WorkerDied records proof that an incarnation of a worker has ended: its address answers for
// another incarnation.
func (s *State) WorkerDied(now time.Time, l spoolsill.WorkerIncarnation) {
	s.now = now
	if w := s.workerOf(l); w != nil && !w.dead {
		s.declareDead(w, "its address answers for another life")
	}
}

// WorkerConnRefused records that connections to a worker's address are refused. That alone
// proves nothing, since a network partition may look the same, and a worker in a partition is
// no longer listed either once its entry has expired. But a worker that was draining and whose
// entry was deleted before it could expire has exited.
func (s *State) WorkerConnRefused(now time.Time, l spoolsill.WorkerIncarnation) {
	s.now = now
	w := s.workerOf(l)
	if w != nil && !w.dead && w.Draining && !w.listed && w.withdrawn {
		s.declareDead(w, "it was draining and has exited")
	}
}

// maxRewriteIntervals is the age of an entry, in intervals of Config.EntryInterval, up to which
// it can't have expired. A worker that is alive rewrites its entry within one interval; the rest
// is for the delay of the feed.
const maxRewriteIntervals = 2

// entryWithdrawn reports whether an entry whose deletion was just received can't have expired:
// the worker rewrote it recently, did not fall silent before, and no outage of the store came
// between, in which entries may expire early.
func (s *State) entryWithdrawn(w *worker) bool {
	interval := s.config.EntryInterval
	return s.now.Sub(w.rewrittenAfter) <= maxRewriteIntervals*interval &&
		(w.answeredAt.IsZero() || s.now.Sub(w.answeredAt) <= interval) &&
		s.now.Sub(s.entriesAsOf) <= interval &&
		s.storeRecoveredAt.Before(w.rewrittenAfter)
}

// WorkerUnresponsive records that an order to a worker had no answer, and that it has
// answered nothing since. Nothing new is started there until it answers: otherwise every
// start in a hall that is cut off would be in doubt until a lease has expired.
func (s *State) WorkerUnresponsive(now time.Time, l spoolsill.WorkerIncarnation) {
	s.now = now
	w := s.workerOf(l)
	if w == nil || w.unresponsive || w.dead {
		return
	}
	w.unresponsive = true
	s.noteWorker(w, "an order had no answer", now.Sub(w.answeredAt))
}

// relistDelay is how long after an outage of the store entries that were lost in it take
// to reappear; the platform specifies about two seconds.
const relistDelay = 2 * time.Second

// StoreRecovered records that the store accepts writes again after an outage. Until
// relistDelay has passed, an entry that was lost in the outage does not mean that its
// worker has left.
func (s *State) StoreRecovered(now time.Time) {
	s.now = now
	s.storeRecoveredAt = now
	for _, w := range s.workerList {
		if w.listed || w.dead || now.Sub(w.unlistedAt) >= relistDelay {
			continue
		}
		w.withdrawn = false
		if !w.Draining {
			s.startOutageGrace(w)
		}
	}
}

// startOutageGrace treats a worker that is no longer listed as listed for some time, if
// its entry may have been lost in an outage of the store.
func (s *State) startOutageGrace(w *worker) {
	if s.storeRecoveredAt.IsZero() || s.now.Sub(s.storeRecoveredAt) >= relistDelay {
		return
	}
	w.graceUntil = s.storeRecoveredAt.Add(relistDelay)
	w.earliestExit = w.graceUntil.Add(s.config.DrainTime)
	s.noteWorker(w, "its entry may have been lost in the outage of the store", s.now.Sub(s.storeRecoveredAt))
}

// present reports whether a worker is in the cell according to its entry.
func (w *worker) present(now time.Time) bool {
	return w.listed || now.Before(w.graceUntil)
}

// leaving reports whether a worker is about to exit: it is draining, or its entry was
// deleted without an announcement.
func (w *worker) leaving(now time.Time) bool {
	return w.Draining || !w.present(now)
}

// stopOnLeaving stops the runs that a worker about to exit can't finish, if their progress
// is saved at the stop or they are lasting, so that they continue elsewhere. A run that
// ends with its worker is otherwise only replaced once the worker's lease has expired.
func (s *State) stopOnLeaving() {
	for _, w := range s.workerList {
		if !w.leaving(s.now) || w.dead || len(w.runs) == 0 || w.earliestExit.Sub(s.now) > s.config.StopTime+checkpointMargin {
			continue
		}
		for _, r := range sortedRuns(w) {
			p := r.task.stage.step
			if (p.Checkpoints || p.Lasting) && r.phase == phaseConfirmed {
				s.stop(r, "its worker is about to exit")
			}
		}
	}
}

// checkpointMargin is the time for sending a stop order and receiving the end.
const checkpointMargin = 400 * time.Millisecond

// LeaseRequested records that a call may extend the lease of a worker's incarnation until at
// most the given time by the leader's clock. A call for a former incarnation may reach the
// next one.
func (s *State) LeaseRequested(l spoolsill.WorkerIncarnation, until time.Time) {
	w := s.workers[l.Worker]
	if w == nil {
		return
	}
	if until.After(w.renewedUntil) && w.incarnation().Matches(l.StartTime) {
		w.renewedUntil = until
	}
	w.leaseInherited = false
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// FormerLeadersEnded records that no lease of a former leader ends later than Config.Lease after the
// given time: none has requested one since, or none that ends later.
func (s *State) FormerLeadersEnded(now, at time.Time) {
	s.now = now
	until := LeaseEnd(at, s.config.Lease)
	if !until.Before(s.inheritedUntil) {
		return
	}
	s.inheritedUntil = until
	for _, w := range s.workers {
		if w.leaseInherited && w.leaseUntil.After(until) {
			w.leaseUntil = until
		}
	}
}

// capInheritedLease is called with a worker's first answer under this leadership: from
// then on the worker refuses former leaders, so that its lease is at most Config.Lease.
func (s *State) capInheritedLease(w *worker) {
	w.leaseInherited = false
	latest := LeaseEnd(s.now, s.config.Lease)
	if w.leaseUntil.After(latest) {
		w.leaseUntil = latest
	}
}

// LeaseEnd returns the latest time at which a lease of length d that is requested now
// may end, by a clock that may run faster than the worker's.
func LeaseEnd(now time.Time, d time.Duration) time.Time {
	return now.Add(d + time.Duration(float64(d)*maxClockDrift) + leaseMargin)
}

// declareDead drops all runs of a worker that has certainly exited.
func (s *State) declareDead(w *worker, reason string) {
	crashed := !w.mayBeDecommissioned()
	w.dead = true
	w.listed = false
	s.removeIncarnation(w)
	s.noteWorker(w, "dead: "+reason, s.now.Sub(w.answeredAt))
	if crashed {
		s.confirmLosses(w)
	}
	s.dropRuns(w, reason, crashed)
	s.deactivateIfUnused(w)
}

// dropRuns drops the runs of a worker whose incarnation has ended, or that has been unreachable
// for longer than its lease; crashed is as for recordLoss. The loss counts against their tasks: a
// task that crashes its workers never reports an end, and would otherwise be restarted forever.
func (s *State) dropRuns(w *worker, reason string, crashed bool) {
	rs := sortedRuns(w)
	s.recordLoss(w, rs, crashed, reason)
	for _, r := range rs {
		r.task.stage.job.account.Lost++
		s.dropRun(r, reason)
	}
	for _, r := range rs {
		s.failCrashing(r.task.stage)
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

// deactivateIfUnused removes a worker from the list of workers if it is not listed, has no
// runs and its lease has expired. Dead workers stay, so that a late entry does not revive
// them.
func (s *State) deactivateIfUnused(w *worker) {
	if w.present(s.now) || len(w.runs) > 0 || w.dead {
		return
	}
	if s.now.Before(w.leaseUntil) {
		return
	}
	w.inactive = true
	w.ready = false
	s.workerList = slices.DeleteFunc(s.workerList, func(o *worker) bool { return o == w })
}

// expireLeases drops the runs of workers that have not answered for so long that their
// leases have expired, and those that were restored at workers that were already known to have
// exited: workers may be read from the store before the jobs.
func (s *State) expireLeases() {
	for _, w := range slices.Clone(s.workerList) {
		if w.dead && len(w.runs) > 0 {
			s.dropRuns(w, "its worker has exited", !w.mayBeDecommissioned())
		}
		if w.dead || s.now.Before(w.leaseUntil) {
			continue
		}
		if len(w.runs) > 0 {
			s.noteWorker(w, "lease is over", s.now.Sub(w.answeredAt))
			w.leaseExpired = true
			s.dropRuns(w, "lease is over", false)
		}
		s.deactivateIfUnused(w)
	}
}

func (s *State) noteWorker(w *worker, reason string, age time.Duration) {
	s.note(Note{
		Kind:   NoteWorkerChanged,
		Worker: w.id,
		Reason: reason,
		Age:    age,
	})
}

// acceptsStarts reports whether something new may be started at w now. Its lease must have been
// renewed: a worker that answers again after it did not respond for a while may be about to end
// all its runs.
func (w *worker) acceptsStarts(now time.Time) bool {
	return w.present(now) && !w.entryInvalid && !w.Draining && !w.dead && len(w.unknownRuns) == 0 &&
		now.Sub(w.answeredAt) < maxAnswerAge && !w.unresponsive && !now.Before(w.backoffUntil) &&
		w.renewedUntil.Sub(now) > minLeaseLeft
}

func (w *worker) free() spoolsill.Resources {
	return w.Capacity.Sub(w.used)
}

// CheckCapacity returns an error when the runs of a worker exceed its capacity, the sum of
// their needs is wrong, or a stage has miscounted its tasks. It is meant for tests.
func (s *State) CheckCapacity() error {
	for _, w := range s.workerList {
		var sum, lasting spoolsill.Resources
		for _, r := range w.runs {
			sum = sum.Add(r.need)
			if r.lasts() {
				lasting = lasting.Add(r.need)
			}
		}
		if sum != w.used || lasting != w.usedForGood {
			return fmt.Errorf("worker %s: %v counted as used, %v of it for good, its runs need %v and %v", w.id, w.used, w.usedForGood, sum, lasting)
		}
		if w.present(s.now) && !w.hasCapacity() {
			return fmt.Errorf("worker %s: %v used of %v", w.id, w.used, w.Capacity)
		}
	}
	for _, j := range s.jobs {
		for _, g := range j.stages {
			if err := g.checkCounts(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (g *stage) checkCounts() error {
	waiting := 0
	failures := g.gangFailures
	for _, t := range g.tasks {
		if t.waits() {
			waiting++
		}
		failures += t.failures + len(t.evidence.losses)
	}
	if waiting != g.waiting {
		return fmt.Errorf("stage %s: %d tasks counted as waiting of %d", g.id, g.waiting, waiting)
	}
	if failures > 0 && !g.failuresSeen {
		return fmt.Errorf("stage %s: %d failures or losses not noticed", g.id, failures)
	}
	return nil
}
