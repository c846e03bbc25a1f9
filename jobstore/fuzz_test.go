package jobstore_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
)

// The scheduler must handle every job that DecodeJob accepts, with any progress, even the
// progress of another job. Guards against rows that make the leader panic.
func FuzzDecodeJob(f *testing.F) {
	for _, j := range invalidJobs() {
		b, err := jobstore.EncodeJob(j)
		qt.Assert(f, err, qt.IsNil)
		f.Add(b, []byte{0x92, 1, 0x90})
	}
	f.Add([]byte{0x80}, []byte{0x92, 0xcc, 200, 0x90})
	f.Add([]byte{0x80}, []byte{0x92, 1, 0x90, 0xc0, 0xa0, 0x91, 7})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff}, []byte{0x92, 1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, job, progress []byte) {
		j, err := jobstore.DecodeJob(job)
		if err != nil {
			return
		}
		p, err := sched.DecodeProgress(progress)
		if err != nil {
			p = sched.Progress{}
		}
		s := sched.New(sched.Config{
			Lease: time.Second,
		})
		s.SetQueues([]sched.Queue{
			{
				ID:      j.Queue,
				Service: "work",
			},
		})
		s.AddJob(time.Unix(1000, 0), j, p)
		s.Decide(time.Unix(1001, 0))
		if _, _, err := s.Batch(time.Unix(1001, 0)); err != nil {
			t.Fatal(err)
		}
	})
}

// invalidJobs returns jobs that no host accepts.
func invalidJobs() []sched.Job {
	steps := func(s ...sched.Step) sched.Job {
		return sched.Job{
			ID:    "j",
			Queue: "q",
			Steps: s,
		}
	}
	many := steps(sched.Step{
		Tasks: 1 << 62,
	}, sched.Step{
		Tasks: 1 << 62,
	})
	rounds := steps(sched.Step{
		Tasks: 1 << 10,
	})
	rounds.Rounds = 1 << 18
	return []sched.Job{
		steps(sched.Step{
			Tasks: -1,
		}),
		many,
		rounds,
		steps(sched.Step{
			Tasks: 1,
			After: []int{5},
		}),
		steps(sched.Step{
			Tasks: 1,
			After: []int{-1},
		}),
	}
}

// DecodeJob rejects invalid jobs.
func TestDecodeJobRejectsInvalidJobs(t *testing.T) {
	for _, j := range invalidJobs() {
		b, err := jobstore.EncodeJob(j)
		qt.Assert(t, err, qt.IsNil)
		_, err = jobstore.DecodeJob(b)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%+v", j))
	}
}

// Guards against accepted jobs that nobody knows any more: releases that did not limit a job's memory
// stored amounts that had overflowed.
func TestJobOfNegativeMemoryIsRead(t *testing.T) {
	b, err := jobstore.EncodeJob(sched.Job{
		ID:    "j",
		Queue: "q",
		Steps: []sched.Step{
			{
				Tasks: 1,
				Need: spoolsill.Resources{
					Memory: -spoolsill.MiB,
				},
			},
		},
	})
	qt.Assert(t, err, qt.IsNil)
	j, err := jobstore.DecodeJob(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, j.Steps[0].Need.Memory > 256<<10*spoolsill.GiB, qt.IsTrue)
}
