package fault

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/timeline"
)

// A failure befalls the cell for some time and then heals.
type failure struct {
	name string
	// begin brings it about and returns what heals it, or nil when it can't
	// come now.
	begin func(ctx context.Context, w *world) (heal func())
}

var failures = []failure{
	{
		name:  "host-dies",
		begin: hostDies,
	},
	{
		name:  "holder-dies",
		begin: holderDies,
	},
	{
		name:  "host-stops",
		begin: hostStops,
	},
	{
		name:  "host-pauses",
		begin: hostPauses,
	},
	{
		name:  "holder-pauses",
		begin: holderPauses,
	},
	{
		name:  "platform-down",
		begin: platformDown,
	},
	{
		name:  "platform-slow",
		begin: platformSlow,
	},
	{
		name:  "answers-lost",
		begin: answersLost,
	},
	{
		name:  "hall-cut-from-platform",
		begin: hallCutFromPlatform,
	},
	{
		name:  "hall-cut-off",
		begin: hallCutOff,
	},
	{
		name:  "host-cut-from-platform",
		begin: hostCutFromPlatform,
	},
	{
		name:  "host-cut-from-host",
		begin: hostCutFromHost,
	},
	{
		name:  "worker-cut",
		begin: workerCut,
	},
	{
		name:  "worker-pauses",
		begin: workerPauses,
	},
	{
		name:  "worker-fails-all",
		begin: workerFails,
	},
	{
		name:  "runner-fails-all",
		begin: runnerFails,
	},
	{
		name:  "runner-cut",
		begin: runnerCut,
	},
}

// fail has failures begin one after another; they overlap.
func (w *world) fail(ctx context.Context) {
	end := time.Now().Add(w.config.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := failures[w.rand(len(failures))]
		if heal := f.begin(ctx, w); heal != nil {
			w.mu.Lock()
			w.result.Faults[f.name]++
			w.mu.Unlock()
			w.note("failure: " + f.name)
			w.healLater(ctx, f.name, heal)
		}
		pause.For(ctx, w.between(200*time.Millisecond, 4*time.Second))
	}
}

func (w *world) healLater(ctx context.Context, name string, heal func()) {
	d := w.between(300*time.Millisecond, 9*time.Second)
	w.heals.Add(1)
	go func() {
		defer w.heals.Done()
		pause.For(ctx, d)
		heal()
		w.note("heals: " + name)
	}()
}

// note puts a word into the events of the first host.
func (w *world) note(text string) {
	w.fleet.Host(0).Ring().Add(timeline.Event{
		Kind: timeline.KindFault,
		Text: text,
	})
}

// up returns a random host that runs.
func (w *world) up() (int, bool) {
	_, states := w.fleet.States()
	i := w.rand(len(states))
	return i, states[i] == 0
}

func (w *world) holder() (int, bool) {
	return w.fleet.Holder(halls[w.rand(len(halls))])
}

func hostDies(_ context.Context, w *world) func() {
	i, ok := w.up()
	if !ok {
		return nil
	}
	return w.kill(i)
}

func holderDies(ctx context.Context, w *world) func() {
	i, ok := w.holder()
	if !ok {
		return nil
	}
	heal := w.kill(i)
	w.heals.Add(1)
	go func() {
		defer w.heals.Done()
		w.timeRecovery(ctx, "holder-dies", w.fleet.Hall(i))
	}()
	return heal
}

// timeRecovery takes down how long a hall is without a holder.
func (w *world) timeRecovery(ctx context.Context, kind string, hall spoolsill.HallID) {
	began := time.Now()
	for ctx.Err() == nil {
		if _, ok := w.fleet.Holder(hall); ok {
			w.mu.Lock()
			w.result.Recovery[kind] = append(w.result.Recovery[kind], time.Since(began))
			w.mu.Unlock()
			return
		}
		pause.For(ctx, 50*time.Millisecond)
	}
}

func (w *world) kill(i int) func() {
	w.operator.harm(i)
	w.fleet.Kill(i)
	return func() { w.restart(i) }
}

func (w *world) restart(i int) {
	if err := w.fleet.Restart(i); err != nil {
		w.cell.Truth.Break(standin.PlannedStop, "host %s can't start again: %s", w.fleet.ID(i), err)
	}
}

// hostStops stops a host as planned. One that is paused is left alone: with
// the process as a whole its stop would be held up too, which the pause of a
// node does not show.
func hostStops(ctx context.Context, w *world) func() {
	i, ok := w.up()
	if !ok || w.cell.Network.Paused(string(w.fleet.ID(i))) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	w.operator.harm(i)
	w.fleet.Stop(ctx, i)
	return func() { w.restart(i) }
}

func (w *world) pauseNode(name string) func() {
	w.cell.Network.SetPaused(name, true)
	return func() { w.cell.Network.SetPaused(name, false) }
}

func hostPauses(_ context.Context, w *world) func() {
	i, ok := w.up()
	if !ok {
		return nil
	}
	return w.pauseHost(i)
}

func (w *world) pauseHost(i int) func() {
	w.operator.harm(i)
	return w.pauseNode(string(w.fleet.ID(i)))
}

func holderPauses(_ context.Context, w *world) func() {
	i, ok := w.holder()
	if !ok {
		return nil
	}
	return w.pauseHost(i)
}

func platformDown(_ context.Context, w *world) func() {
	w.cell.Platform.Fault.SetDown(true)
	return func() { w.cell.Platform.Fault.SetDown(false) }
}

func platformSlow(_ context.Context, w *world) func() {
	w.cell.Platform.Fault.SetSlow(w.between(50*time.Millisecond, 900*time.Millisecond))
	return func() { w.cell.Platform.Fault.SetSlow(0) }
}

func answersLost(_ context.Context, w *world) func() {
	w.cell.Platform.Fault.LoseAnswers(1 + w.rand(6))
	return func() {}
}

func (w *world) cut(pairs ...[2]string) func() {
	for _, p := range pairs {
		w.cell.Network.SetCut(p[0], p[1], true)
	}
	return func() {
		for _, p := range pairs {
			w.cell.Network.SetCut(p[0], p[1], false)
		}
	}
}

func hallCutFromPlatform(_ context.Context, w *world) func() {
	return w.cut([2]string{string(halls[w.rand(len(halls))]), standin.PlatformPlace})
}

func hallCutOff(_ context.Context, w *world) func() {
	h := string(halls[0])
	return w.cut([2]string{h, string(halls[1])}, [2]string{h, standin.PlatformPlace})
}

func hostCutFromPlatform(_ context.Context, w *world) func() {
	return w.cut([2]string{string(w.fleet.ID(w.rand(w.fleet.Len()))), standin.PlatformPlace})
}

// hostCutFromHost cuts the two hosts of a hall from each other.
func hostCutFromHost(_ context.Context, w *world) func() {
	i := w.rand(len(halls)) * hosts
	w.operator.harm(i)
	return w.cut([2]string{string(w.fleet.ID(i)), string(w.fleet.ID(i + 1))})
}

// worker returns the id of a random worker, the same for the same seed.
func (w *world) worker() spoolsill.WorkerID {
	l := w.cell.Platform.Members().Workers
	return l[w.rand(len(l))].ID
}

func (w *world) runner() spoolsill.RunnerID {
	l := w.cell.Platform.Members().Runners
	return l[w.rand(len(l))].ID
}

func workerCut(_ context.Context, w *world) func() {
	id := w.worker()
	return w.cut([2]string{string(id), string(halls[0])}, [2]string{string(id), string(halls[1])})
}

func workerPauses(_ context.Context, w *world) func() {
	return w.pauseNode(string(w.worker()))
}

func workerFails(_ context.Context, w *world) func() {
	x := w.cell.Workers[w.worker()]
	x.FailAll(true)
	return func() { x.FailAll(false) }
}

func runnerFails(_ context.Context, w *world) func() {
	x := w.cell.Runners[w.runner()]
	x.FailAll(true)
	return func() { x.FailAll(false) }
}

func runnerCut(_ context.Context, w *world) func() {
	id := w.runner()
	return w.cut([2]string{string(id), string(halls[0])}, [2]string{string(id), string(halls[1])})
}
