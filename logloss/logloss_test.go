package logloss_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/logloss"
	"github.com/spoolsill/spoolsill/logstory"
)

// log holds seven jobs of queue "q", a job that no host accepted, a change of leader and
// an outage of the store.
const log = `
{"time":"2026-05-12T01:00:00Z","msg":"job accepted","job":"in-time","queue":"q"}
{"time":"2026-05-12T01:00:00Z","msg":"job accepted","job":"room","queue":"q"}
{"time":"2026-05-12T01:00:00Z","msg":"job accepted","job":"lost","queue":"q"}
{"time":"2026-05-12T01:00:01Z","msg":"job ended","job":"in-time","reason":"completed: all tasks are done","age_ms":900,"objective_ms":1000}
{"time":"2026-05-12T01:00:02Z","msg":"job ended","job":"room","reason":"completed: all tasks are done","age_ms":2000,"objective_ms":1000,"waited_room_ms":1200,"waited_advice_ms":300}
{"time":"2026-05-12T01:00:03Z","msg":"job ended","job":"lost","reason":"completed: all tasks are done","age_ms":3000,"objective_ms":1000,"waited_room_ms":1200,"runs_lost":1}
{"time":"2026-05-12T01:00:00Z","msg":"job accepted","job":"share","queue":"q"}
{"time":"2026-05-12T01:00:04Z","msg":"job ended","job":"share","reason":"completed: all tasks are done","age_ms":4000,"objective_ms":1000,"waited_room_ms":2200,"waited_advice_ms":300,"waited_share_ms":2000}
{"time":"2026-05-12T01:01:00Z","msg":"job accepted","job":"leader","queue":"q"}
{"time":"2026-05-12T01:01:00Z","msg":"job accepted","job":"open","queue":"q"}
{"time":"2026-05-12T01:01:01Z","msg":"this host leads","host":"b"}
{"time":"2026-05-12T01:01:03Z","msg":"job ended","job":"leader","reason":"completed: all tasks are done","age_ms":3000,"objective_ms":1000}
{"time":"2026-05-12T01:02:00Z","msg":"job accepted","job":"given-up","queue":"q"}
{"time":"2026-05-12T01:02:01Z","msg":"job ended","job":"given-up","reason":"cancelled: cancelled by its client","age_ms":1000,"objective_ms":1000}
{"time":"2026-05-12T01:03:00Z","msg":"store not reachable","host":"b"}
{"time":"2026-05-12T01:03:00Z","msg":"request refused","method":"POST","path":"/orders/refused","status":502}
{"time":"2026-05-12T01:03:00Z","msg":"request refused","method":"GET","path":"/orders/asked","status":502}
`

func TestCausesAreCountedByReason(t *testing.T) {
	lines, _, err := logstory.Read(strings.NewReader(log))
	qt.Assert(t, err, qt.IsNil)
	queues := logloss.Summarize(lines)
	qt.Assert(t, queues, qt.HasLen, 2)
	qt.Assert(t, queues[0], qt.DeepEquals, logloss.Queue{
		Name: "/orders/",
		Jobs: 1,
		Causes: []logloss.Cause{
			{
				Fate:   logloss.NeverAccepted,
				Reason: logloss.StoreUnreachable,
				Jobs:   1,
			},
		},
	})
	q := queues[1]
	qt.Assert(t, q.Jobs, qt.Equals, 7)
	qt.Assert(t, q.InTime, qt.Equals, 1)
	var got []string
	for _, c := range q.Causes {
		got = append(got, fmt.Sprintf("%s: %s", c.Fate, c.Reason))
	}
	qt.Assert(t, got, qt.ContentEquals, []string{
		"late: waited for room",
		"late: waited beyond its team's share",
		"late: a worker with its work was lost",
		"late: the leader changed",
		"not ended: ran",
		"cancelled: ran",
	})
}

func ExampleSummarize() {
	lines, _, err := logstory.Read(strings.NewReader(log))
	if err != nil {
		panic(err)
	}
	for _, q := range logloss.Summarize(lines) {
		fmt.Println(q.Name, q.Jobs, q.InTime)
	}
	// Output:
	// /orders/ 1 0
	// q 7 1
}
