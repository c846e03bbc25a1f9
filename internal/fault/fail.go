package fault

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/fleet"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/timeline"
)

// A failure brings a step about and returns what heals it, or nil when it
// can't come now.
type failure func(ctx context.Context, w *world, s Step) (heal func())

var kinds = map[string]failure{
	"host-dies":              hostDies,
	"holder-dies":            holderDies,
	"other-dies":             otherDies,
	"host-stops":             hostStops,
	"holder-stops":           holderStops,
	"host-pauses":            hostPauses,
	"holder-pauses":          holderPauses,
	"platform-down":          platformDown,
	"platform-slow":          platformSlow,
	"answers-lost":           answersLost,
	"hall-cut-from-platform": hallCutFromPlatform,
	"hall-cut-off":           hallCutOff,
	"host-cut-from-platform": hostCutFromPlatform,
	"host-cut-from-host":     hostCutFromHost,
	"worker-cut":             workerCut,
	"worker-pauses":          workerPauses,
	"worker-fails-all":       workerFails,
	"runner-fails-all":       runnerFails,
	"runner-cut":             runnerCut,
}

// drawn has the kinds from which sequences are drawn.
var drawn = slices.Sorted(maps.Keys(kinds))

// fail has the failures of the schedule begin; they overlap.
func (w *world) fail(ctx context.Context) {
	began := time.Now()
	for _, s := range w.schedule.Steps {
		pause.For(ctx, time.Until(began.Add(time.Duration(s.At))))
		if ctx.Err() != nil {
			return
		}
		w.heals.Add(1)
		go func() {
			defer w.heals.Done()
			w.befall(ctx, s)
		}()
	}
	pause.For(ctx, time.Until(began.Add(w.config.Duration)))
}

// befall brings a step about and heals it.
func (w *world) befall(ctx context.Context, s Step) {
	heal := kinds[s.Kind](ctx, w, s)
	if heal == nil {
		return
	}
	w.mu.Lock()
	w.result.Faults[s.Kind]++
	w.mu.Unlock()
	w.note("failure: " + s.Kind)
	pause.For(ctx, time.Duration(s.Duration))
	heal()
	w.note("heals: " + s.Kind)
}

// note puts a word into the events of the first host.
func (w *world) note(text string) {
	w.fleet.Host(0).Ring().Add(timeline.Event{
		Kind: timeline.KindFault,
		Text: text,
	})
}

// up returns the host of a step, and whether it runs.
func (w *world) up(s Step) (int, bool) {
	_, states := w.fleet.States()
	return s.Host, states[s.Host] == fleet.Running
}

// holder returns the host that holds the hall of a step.
func (w *world) holder(s Step) (int, bool) {
	return w.fleet.Holder(halls[s.Hall])
}

// other returns a host of the hall of a step that runs and does not hold it.
func (w *world) other(s Step) (int, bool) {
	_, states := w.fleet.States()
	h, held := w.holder(s)
	for i, x := range states {
		if held && i != h && x == fleet.Running && w.fleet.Hall(i) == halls[s.Hall] {
			return i, true
		}
	}
	return 0, false
}

func hostDies(_ context.Context, w *world, s Step) func() {
	i, ok := w.up(s)
	if !ok {
		return nil
	}
	return w.kill(i)
}

func otherDies(_ context.Context, w *world, s Step) func() {
	i, ok := w.other(s)
	if !ok {
		return nil
	}
	return w.kill(i)
}

func holderDies(ctx context.Context, w *world, s Step) func() {
	i, ok := w.holder(s)
	if !ok {
		return nil
	}
	heal := w.kill(i)
	w.heals.Add(1)
	go func() {
		defer w.heals.Done()
		w.timeRecovery(ctx, s.Kind, w.fleet.Hall(i))
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
		w.cell.Truth.Break(standin.PlannedStop, "host %s can't start again: %s", w.fleet.HostID(i), err)
	}
}

func hostStops(ctx context.Context, w *world, s Step) func() {
	i, ok := w.up(s)
	if !ok {
		return nil
	}
	return w.stop(ctx, i)
}

func holderStops(ctx context.Context, w *world, s Step) func() {
	i, ok := w.holder(s)
	if !ok {
		return nil
	}
	return w.stop(ctx, i)
}

// stop stops a host as planned. One that is paused is left alone: with the
// process as a whole its stop would be held up too, which the pause of a node
// does not show.
func (w *world) stop(ctx context.Context, i int) func() {
	if w.cell.Network.Paused(string(w.fleet.HostID(i))) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	w.fleet.Stop(ctx, i)
	// A host that leaves hands on what only it knows, to the platform or to the
	// other host: that is lost with it only where the platform is silent to the
	// end.
	if w.fleet.Host(i).PlatformUnresponsive() {
		w.operator.harm(i)
	}
	return func() { w.restart(i) }
}

func (w *world) pauseNode(name string) func() {
	w.cell.Network.SetPaused(name, true)
	return func() { w.cell.Network.SetPaused(name, false) }
}

// harmInSilence notes that a host can't be reached, which costs what it knows
// only while nobody else can be told.
func (w *world) harmInSilence(i int) {
	if w.fleet.PlatformUnresponsive(w.fleet.Hall(i)) {
		w.operator.harm(i)
	}
}

func hostPauses(_ context.Context, w *world, s Step) func() {
	i, ok := w.up(s)
	if !ok {
		return nil
	}
	return w.pauseHost(i)
}

func (w *world) pauseHost(i int) func() {
	w.harmInSilence(i)
	return w.pauseNode(string(w.fleet.HostID(i)))
}

func holderPauses(_ context.Context, w *world, s Step) func() {
	i, ok := w.holder(s)
	if !ok {
		return nil
	}
	return w.pauseHost(i)
}

func platformDown(_ context.Context, w *world, _ Step) func() {
	w.cell.Platform.Fault.SetDown(true)
	return func() { w.cell.Platform.Fault.SetDown(false) }
}

func platformSlow(_ context.Context, w *world, s Step) func() {
	w.cell.Platform.Fault.SetSlow(time.Duration(s.Delay))
	return func() { w.cell.Platform.Fault.SetSlow(0) }
}

func answersLost(_ context.Context, w *world, s Step) func() {
	w.cell.Platform.Fault.LoseAnswers(s.Answers)
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

func hallCutFromPlatform(_ context.Context, w *world, s Step) func() {
	return w.cut([2]string{string(halls[s.Hall]), standin.PlatformPlace})
}

func hallCutOff(_ context.Context, w *world, _ Step) func() {
	h := string(halls[0])
	return w.cut([2]string{h, string(halls[1])}, [2]string{h, standin.PlatformPlace})
}

func hostCutFromPlatform(_ context.Context, w *world, s Step) func() {
	return w.cut([2]string{string(w.fleet.HostID(s.Host)), standin.PlatformPlace})
}

// hostCutFromHost cuts the two hosts of a hall from each other.
func hostCutFromHost(_ context.Context, w *world, s Step) func() {
	i := s.Hall * hosts
	w.harmInSilence(i)
	return w.cut([2]string{string(w.fleet.HostID(i)), string(w.fleet.HostID(i + 1))})
}

// worker returns the worker of a step.
func (w *world) worker(s Step) spoolsill.WorkerID {
	l := w.cell.Platform.Members().Workers
	return l[s.Machine%len(l)].ID
}

// runner returns the runner of a step.
func (w *world) runner(s Step) spoolsill.RunnerID {
	l := w.cell.Platform.Members().Runners
	return l[s.Machine%len(l)].ID
}

func workerCut(_ context.Context, w *world, s Step) func() {
	id := w.worker(s)
	return w.cut([2]string{string(id), string(halls[0])}, [2]string{string(id), string(halls[1])})
}

func workerPauses(_ context.Context, w *world, s Step) func() {
	return w.pauseNode(string(w.worker(s)))
}

func workerFails(_ context.Context, w *world, s Step) func() {
	x := w.cell.Workers[w.worker(s)]
	x.FailAll(true)
	return func() { x.FailAll(false) }
}

func runnerFails(_ context.Context, w *world, s Step) func() {
	x := w.cell.Runners[w.runner(s)]
	x.FailAll(true)
	return func() { x.FailAll(false) }
}

func runnerCut(_ context.Context, w *world, s Step) func() {
	id := w.runner(s)
	return w.cut([2]string{string(id), string(halls[0])}, [2]string{string(id), string(halls[1])})
}
