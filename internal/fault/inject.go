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

// An injector injects the failure of a step. It returns the function that ends
// the failure, or nil if the failure does not apply to the current state.
type injector func(ctx context.Context, sim *simulation, s Step) (heal func())

var injectors = map[string]injector{
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

// kindNames lists the kinds of failure that a random schedule chooses from.
var kindNames = slices.Sorted(maps.Keys(injectors))

// injectFailures starts each failure of the schedule at its time and returns
// after the configured duration. Failures may overlap.
func (sim *simulation) injectFailures(ctx context.Context) {
	start := time.Now()
	for _, s := range sim.schedule.Steps {
		pause.For(ctx, time.Until(start.Add(time.Duration(s.At))))
		if ctx.Err() != nil {
			return
		}
		sim.injections.Add(1)
		go func() {
			defer sim.injections.Done()
			sim.inject(ctx, s)
		}()
	}
	pause.For(ctx, time.Until(start.Add(sim.config.Duration)))
}

// inject injects the failure of a step and ends it after its duration.
func (sim *simulation) inject(ctx context.Context, s Step) {
	heal := injectors[s.Kind](ctx, sim, s)
	if heal == nil {
		return
	}
	sim.mu.Lock()
	sim.result.Faults[s.Kind]++
	sim.mu.Unlock()
	sim.recordEvent("failure: " + s.Kind)
	pause.For(ctx, time.Duration(s.Duration))
	heal()
	sim.recordEvent("failure ends: " + s.Kind)
}

// recordEvent adds a fault event to the timeline of the first host of the fleet.
func (sim *simulation) recordEvent(text string) {
	sim.fleet.Host(0).Ring().Add(timeline.Event{
		Kind: timeline.KindFault,
		Text: text,
	})
}

// runningHost returns the host of a step and reports whether it is running.
func (sim *simulation) runningHost(s Step) (int, bool) {
	_, states := sim.fleet.States()
	return s.Host, states[s.Host] == fleet.Running
}

// holder returns the host that holds the lease of a step's hall, if any.
func (sim *simulation) holder(s Step) (int, bool) {
	return sim.fleet.Holder(halls[s.Hall])
}

// nonHolder returns a running host of a step's hall that does not hold the
// hall's lease. It reports false if no host holds the lease.
func (sim *simulation) nonHolder(s Step) (int, bool) {
	_, states := sim.fleet.States()
	h, held := sim.holder(s)
	for i, x := range states {
		if held && i != h && x == fleet.Running && sim.fleet.Hall(i) == halls[s.Hall] {
			return i, true
		}
	}
	return 0, false
}

func hostDies(_ context.Context, sim *simulation, s Step) func() {
	i, ok := sim.runningHost(s)
	if !ok {
		return nil
	}
	return sim.killHost(i)
}

func otherDies(_ context.Context, sim *simulation, s Step) func() {
	i, ok := sim.nonHolder(s)
	if !ok {
		return nil
	}
	return sim.killHost(i)
}

func holderDies(ctx context.Context, sim *simulation, s Step) func() {
	i, ok := sim.holder(s)
	if !ok {
		return nil
	}
	heal := sim.killHost(i)
	sim.injections.Add(1)
	go func() {
		defer sim.injections.Done()
		sim.measureRecovery(ctx, s.Kind, sim.fleet.Hall(i))
	}()
	return heal
}

// measureRecovery records how long a hall is without a holder.
func (sim *simulation) measureRecovery(ctx context.Context, kind string, hall spoolsill.HallID) {
	start := time.Now()
	for ctx.Err() == nil {
		if _, ok := sim.fleet.Holder(hall); ok {
			sim.mu.Lock()
			sim.result.Recovery[kind] = append(sim.result.Recovery[kind], time.Since(start))
			sim.mu.Unlock()
			return
		}
		pause.For(ctx, 50*time.Millisecond)
	}
}

// killHost kills a host, whose memory is lost, and returns a function that restarts it.
func (sim *simulation) killHost(i int) func() {
	sim.operator.markLost(i)
	sim.fleet.Kill(i)
	return func() { sim.restartHost(i) }
}

// restartHost starts a host again. A host that can't restart is a violation.
func (sim *simulation) restartHost(i int) {
	if err := sim.fleet.Restart(i); err != nil {
		sim.cell.Truth.RecordViolation(standin.InvariantPlannedStop, "host %s could not be restarted: %s", sim.fleet.HostID(i), err)
	}
}

func hostStops(ctx context.Context, sim *simulation, s Step) func() {
	i, ok := sim.runningHost(s)
	if !ok {
		return nil
	}
	return sim.stopHost(ctx, i)
}

func holderStops(ctx context.Context, sim *simulation, s Step) func() {
	i, ok := sim.holder(s)
	if !ok {
		return nil
	}
	return sim.stopHost(ctx, i)
}

// stopHost performs a planned stop of a host. It skips a paused host: a real
// paused process could not run its shutdown either, but pausing a node suspends
// only its network connections.
func (sim *simulation) stopHost(ctx context.Context, i int) func() {
	if sim.cell.Network.Paused(string(sim.fleet.HostID(i))) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	sim.fleet.Stop(ctx, i)
	// A host that stops writes its unsaved jobs to the platform or copies them to
	// the other host. They can be lost only if the platform is still unresponsive
	// when the stop ends.
	if sim.fleet.Host(i).PlatformUnavailable() {
		sim.operator.markLost(i)
	}
	return func() { sim.restartHost(i) }
}

// pauseNode suspends the network connections of a node.
func (sim *simulation) pauseNode(name string) func() {
	sim.cell.Network.SetPaused(name, true)
	return func() { sim.cell.Network.SetPaused(name, false) }
}

// markLostIfUnresponsive marks an unreachable host as lost if the platform is
// unresponsive for its hall. While the platform responds, the unsaved jobs can
// still be written to it.
func (sim *simulation) markLostIfUnresponsive(i int) {
	if sim.fleet.PlatformUnresponsive(sim.fleet.Hall(i)) {
		sim.operator.markLost(i)
	}
}

func hostPauses(_ context.Context, sim *simulation, s Step) func() {
	i, ok := sim.runningHost(s)
	if !ok {
		return nil
	}
	return sim.pauseHost(i)
}

// pauseHost pauses a host, which then counts as lost if the platform is unresponsive.
func (sim *simulation) pauseHost(i int) func() {
	sim.markLostIfUnresponsive(i)
	return sim.pauseNode(string(sim.fleet.HostID(i)))
}

func holderPauses(_ context.Context, sim *simulation, s Step) func() {
	i, ok := sim.holder(s)
	if !ok {
		return nil
	}
	return sim.pauseHost(i)
}

func platformDown(_ context.Context, sim *simulation, _ Step) func() {
	sim.cell.Platform.Fault.SetDown(true)
	return func() { sim.cell.Platform.Fault.SetDown(false) }
}

func platformSlow(_ context.Context, sim *simulation, s Step) func() {
	sim.cell.Platform.Fault.SetDelay(time.Duration(s.Delay))
	return func() { sim.cell.Platform.Fault.SetDelay(0) }
}

func answersLost(_ context.Context, sim *simulation, s Step) func() {
	sim.cell.Platform.Fault.DropResponses(s.Answers)
	return func() {}
}

// partition cuts the connections between pairs of nodes or places.
func (sim *simulation) partition(pairs ...[2]string) func() {
	for _, p := range pairs {
		sim.cell.Network.SetPartitioned(p[0], p[1], true)
	}
	return func() {
		for _, p := range pairs {
			sim.cell.Network.SetPartitioned(p[0], p[1], false)
		}
	}
}

func hallCutFromPlatform(_ context.Context, sim *simulation, s Step) func() {
	return sim.partition([2]string{string(halls[s.Hall]), standin.PlatformPlace})
}

func hallCutOff(_ context.Context, sim *simulation, _ Step) func() {
	h := string(halls[0])
	return sim.partition([2]string{h, string(halls[1])}, [2]string{h, standin.PlatformPlace})
}

func hostCutFromPlatform(_ context.Context, sim *simulation, s Step) func() {
	return sim.partition([2]string{string(sim.fleet.HostID(s.Host)), standin.PlatformPlace})
}

// hostCutFromHost cuts the connection between the two hosts of a hall.
func hostCutFromHost(_ context.Context, sim *simulation, s Step) func() {
	i := s.Hall * hostsPerHall
	sim.markLostIfUnresponsive(i)
	return sim.partition([2]string{string(sim.fleet.HostID(i)), string(sim.fleet.HostID(i + 1))})
}

func (sim *simulation) worker(s Step) spoolsill.WorkerID {
	workers := sim.cell.Platform.Members().Workers
	return workers[s.Machine%len(workers)].ID
}

func (sim *simulation) runner(s Step) spoolsill.RunnerID {
	runners := sim.cell.Platform.Members().Runners
	return runners[s.Machine%len(runners)].ID
}

func workerCut(_ context.Context, sim *simulation, s Step) func() {
	id := sim.worker(s)
	return sim.partition([2]string{string(id), string(halls[0])}, [2]string{string(id), string(halls[1])})
}

func workerPauses(_ context.Context, sim *simulation, s Step) func() {
	return sim.pauseNode(string(sim.worker(s)))
}

func workerFails(_ context.Context, sim *simulation, s Step) func() {
	w := sim.cell.Workers[sim.worker(s)]
	w.FailAll(true)
	return func() { w.FailAll(false) }
}

func runnerFails(_ context.Context, sim *simulation, s Step) func() {
	r := sim.cell.Runners[sim.runner(s)]
	r.FailAll(true)
	return func() { r.FailAll(false) }
}

func runnerCut(_ context.Context, sim *simulation, s Step) func() {
	id := sim.runner(s)
	return sim.partition([2]string{string(id), string(halls[0])}, [2]string{string(id), string(halls[1])})
}
