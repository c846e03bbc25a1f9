package sched_test

import (
	"bytes"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/packed"
	"github.com/spoolsill/spoolsill/sched"
)

// Checks compatibility of stored progress in both directions: an earlier release ignores
// what follows the progress in a row, and this release reads rows without it.
func TestRowsAreReadByBothReleases(t *testing.T) {
	type former struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

		State  sched.JobState
		Stages []sched.StageProgress
	}
	c := qt.New(t)
	p := runningAt("kept")
	plain, err := sched.EncodeProgress(p)
	c.Assert(err, qt.IsNil)
	old, err := msgpack.Marshal(&former{
		State:  p.State,
		Stages: p.Stages,
	})
	c.Assert(err, qt.IsNil)
	var read former
	rest, err := packed.Decode(plain, &read)
	c.Assert(err, qt.IsNil)
	c.Assert(rest, qt.HasLen, 0)
	again, err := msgpack.Marshal(&read)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, old)
	p.Crashes = []sched.TaskCrashes{
		{
			Lived: 20 * time.Millisecond,
			Losses: []sched.Loss{
				{
					Worker: "v",
					Begun:  true,
					Over:   true,
				},
			},
		},
	}
	b, err := sched.EncodeProgress(p)
	c.Assert(err, qt.IsNil)
	var f former
	c.Assert(msgpack.Unmarshal(b, &f), qt.IsNil)
	c.Assert(f.Stages, qt.HasLen, 1)
	c.Assert(f.Stages[0].Tasks[0].Worker, qt.Equals, spoolsill.WorkerID("kept"))
	got, err := sched.DecodeProgress(b)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Stages, qt.HasLen, 1)
	c.Assert(got.Crashes, qt.HasLen, 1)
	c.Assert(got.Crashes[0].Lived, qt.Equals, p.Crashes[0].Lived)
	c.Assert(got.Crashes[0].Losses[0].Worker, qt.Equals, spoolsill.WorkerID("v"))
	c.Assert(got.Crashes[0].Losses[0].Begun && got.Crashes[0].Losses[0].Over, qt.IsTrue)
	got, err = sched.DecodeProgress(old)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Crashes, qt.HasLen, 0)
}

// A row stores the start times of the incarnations that have runs or were lost with tasks.
// Releases that do not know of start times read such a row as before, and their rows have
// none.
func TestRowStoresStartTimes(t *testing.T) {
	c := qt.New(t)
	p := runningAt("kept")
	plain, err := sched.EncodeProgress(p)
	c.Assert(err, qt.IsNil)
	p.Stages[0].Tasks[0].Born = 7000
	p.Crashes = []sched.TaskCrashes{
		{
			Losses: []sched.Loss{
				{
					Worker: "kept",
					Born:   1000,
					Over:   true,
				},
				{
					Worker: "v",
				},
			},
		},
	}
	b, err := sched.EncodeProgress(p)
	c.Assert(err, qt.IsNil)
	got, err := sched.DecodeProgress(b)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Stages[0].Tasks[0].Born, qt.Equals, spoolsill.StartTime(7000))
	c.Assert(got.Crashes[0].Losses[0].Born, qt.Equals, spoolsill.StartTime(1000))
	c.Assert(got.Crashes[0].Losses[1].Born, qt.Equals, spoolsill.StartTime(0))
	got, err = sched.DecodeProgress(plain)
	c.Assert(err, qt.IsNil)
	c.Assert(got.StartTimes, qt.HasLen, 0)
	c.Assert(got.Stages[0].Tasks[0].Born, qt.Equals, spoolsill.StartTime(0))
	// A row with more start times than incarnations is rejected.
	_, err = sched.DecodeProgress(append(append([]byte(nil), plain...), 0xc0, 0xa0, 0x92, 1, 2))
	c.Assert(err, qt.IsNotNil)
}

// A row stores a bounded number of losses: of a job whose thousand tasks were lost with
// their workers, those of the tasks with the most losses.
func TestStoredLossesAreBounded(t *testing.T) {
	x := newCell(t)
	j := job("j", "q", tasks(1000, 0))
	x.state.AddJob(x.now, j, sched.Progress{})
	for i := range 2 {
		x.listIncarnation(i, 0)
		o := x.step()
		x.acceptStarts(o)
		x.now = x.now.Add(3 * time.Second)
		x.state.WorkerDied(x.now, incarnationOf(incarnationID(i, 0)))
	}
	x.listIncarnation(2, 0)
	b, err := x.jobRow()
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(len(b) < sched.MaxProgressBytes(j), qt.IsTrue)
	p, err := sched.DecodeProgress(b)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(p.Crashes, qt.HasLen, 32)
}

// Checks that a release that knows of crashes but not of teams reads a row with a team.
func TestRowsWithATeamAreReadByTheFormerRelease(t *testing.T) {
	c := qt.New(t)
	for _, crashes := range [][]sched.TaskCrashes{
		nil,
		{
			{
				Losses: []sched.Loss{
					{
						Worker: "v",
					},
				},
			},
		},
	} {
		p := runningAt("kept")
		p.Crashes = crashes
		p.Team = "a"
		b, err := sched.EncodeProgress(p)
		c.Assert(err, qt.IsNil)
		d := msgpack.NewDecoder(bytes.NewReader(b))
		var progress sched.Progress
		c.Assert(d.Decode(&progress), qt.IsNil)
		c.Assert(progress.Stages, qt.HasLen, 1)
		var read []sched.TaskCrashes
		c.Assert(d.Decode(&read), qt.IsNil)
		c.Assert(read, qt.HasLen, len(crashes))
		got, err := sched.DecodeProgress(b)
		c.Assert(err, qt.IsNil)
		c.Assert(got.Team, qt.Equals, spoolsill.TeamID("a"))
		c.Assert(got.Crashes, qt.HasLen, len(crashes))
	}
}

// Guards against rows that saturate the leader's link: the row of a job with many tasks
// is written at each start and end of one of them.
func TestProgressRowsAreShort(t *testing.T) {
	const tasks = 25
	p := runningAt("i-c61488dfcf")
	one := p.Stages[0].Tasks[0]
	p.Stages[0].Tasks = slices.Repeat([]sched.TaskProgress{one}, tasks)
	b, err := sched.EncodeProgress(p)
	qt.Assert(t, err, qt.IsNil)
	each := len(one.Worker) + 6 // its length and one byte for each other field
	qt.Check(t, len(b) <= tasks*each+20, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}
