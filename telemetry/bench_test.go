package telemetry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/telemetry"
)

// BenchmarkRecordEvent measures the recording of one event of the leader.
func BenchmarkRecordEvent(b *testing.B) {
	m := telemetry.New()
	n := sched.Note{
		Kind:   sched.NoteEnded,
		Reason: "done",
		Age:    time.Second,
	}
	b.ReportAllocs()
	for b.Loop() {
		m.RecordEvent(n)
	}
}

// BenchmarkScrape measures one scrape.
func BenchmarkScrape(b *testing.B) {
	m := telemetry.New()
	for _, outcome := range []string{"200", "404", "502", "504"} {
		m.RecordCall("post", outcome, time.Millisecond)
		m.RecordStoreWrite(outcome, time.Millisecond)
		m.RecordAdvice(outcome, time.Millisecond)
	}
	h := m.Handler()
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		_, _ = io.Copy(io.Discard, w.Body)
	}
}
