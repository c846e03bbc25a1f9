//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// A storeGate is the platform's store as the hosts reach it: it can be down in part, and a
// connection to it can go silent.
type storeGate struct {
	next   http.Handler
	record *record

	mu sync.Mutex
	// refused are the partitions that are down.
	refused map[string]bool
	// silence, if set, selects the call whose connection goes silent for good.
	silence func(r *http.Request) bool
}

// setRefused sets the partitions that are down: calls to them are answered with 503.
func (g *storeGate) setRefused(parts ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused = map[string]bool{}
	for _, p := range parts {
		g.refused[p] = true
	}
}

// silenceNext makes the connection of the next call that match accepts go silent. Other
// connections work.
func (g *storeGate) silenceNext(match func(r *http.Request) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silence = match
}

func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts, err := partitionsOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	down := false
	for _, p := range parts {
		down = down || g.refused[p]
	}
	silent := g.silence != nil && g.silence(r)
	if silent {
		g.silence = nil
	}
	g.mu.Unlock()
	switch {
	case silent:
		g.record.add("store: the connection of %s?%s goes silent", r.URL.Path, r.URL.RawQuery)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		g.next.ServeHTTP(w, r)
	}
}

// partitionsOf returns the partitions that a call reads or writes. The body of a transaction
// can still be read afterwards.
func partitionsOf(r *http.Request) ([]string, error) {
	if r.URL.Path != "/api/rows-tx" {
		if r.URL.Query().Has("part") {
			return []string{r.URL.Query().Get("part")}, nil
		}
		return nil, nil
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	type entry struct {
		Part string `json:"part"`
	}
	var t struct {
		Put    []entry `json:"put"`
		Delete []entry `json:"delete"`
	}
	if err := json.Unmarshal(b, &t); err != nil {
		return nil, err
	}
	var parts []string
	for _, e := range append(t.Put, t.Delete...) {
		parts = append(parts, e.Part)
	}
	return parts, nil
}
