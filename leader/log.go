package leader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
)

// loadEvery is how often the log tells how full the cell is.
const loadEvery = 2 * time.Second

// logLoad tells now and then how full the cell is.
func (l *Leader) logLoad(now time.Time) {
	if !l.loaded || now.Sub(l.loadTold) < loadEvery {
		return
	}
	l.loadTold = now
	x := l.state.Load()
	l.config.Log.WithFields(logrus.Fields{
		"epoch":         uint64(l.Epoch()),
		"workers":       x.Workers,
		"ready":         x.Ready,
		"cores":         int64(x.Capacity.Processors / spoolsill.Core),
		"cores_used":    int64(x.Used.Processors / spoolsill.Core),
		"runs":          x.Runs,
		"runs_in_doubt": x.Doubtful,
		"stages_wait":   x.Stages,
		"stages_late":   x.Late,
		"questions":     x.Asking,
	}).Info("load of the cell")
}

func (l *Leader) logNotes() {
	for _, n := range l.state.Notes() {
		l.config.Observer.Note(n)
		f := logrus.Fields{
			"epoch":  uint64(l.Epoch()),
			"reason": n.Reason,
			"age_ms": n.Age.Milliseconds(),
		}
		if n.Job != "" {
			f["job"] = string(n.Job)
		}
		if n.Run.Number > 0 {
			f["task"] = n.Run.Task.String()
			f["run"] = uint32(n.Run.Number)
		}
		if n.Worker != "" {
			f["worker"] = string(n.Worker)
		}
		if a := n.Account; a != nil {
			f["objective_ms"] = a.Objective.Milliseconds()
			f["waited_advice_ms"] = a.Advice.Milliseconds()
			f["waited_room_ms"] = a.Room.Milliseconds()
			f["runs_failed"] = a.Failed
			f["runs_lost"] = a.Lost
		}
		l.config.Log.WithFields(f).Info(string(n.Kind))
	}
}
