package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/upstream"
)

// Request headers. Times are durations such as "1.5s", so that they do not
// depend on the clocks of callers. The exception is HeaderIssued, which is a Unix
// time in milliseconds.
const (
	HeaderKey          = upstream.HeaderKey
	HeaderCaller       = "Spoolsill-Caller"
	HeaderDeadline     = "Spoolsill-Deadline"
	HeaderFade         = "Spoolsill-Fade"
	HeaderClass        = "Spoolsill-Class"
	HeaderWorth        = "Spoolsill-Worth"
	HeaderUnrepeatable = "Spoolsill-Unrepeatable"
	HeaderIssued       = "Spoolsill-Issued"
)

// Response headers.
const (
	HeaderOutcome  = upstream.HeaderOutcome
	HeaderCause    = "Spoolsill-Cause"
	HeaderReplayed = "Spoolsill-Replayed"
	HeaderRunner   = "Spoolsill-Runner"
)

const headerPrefix = "Spoolsill-"

// Limits and defaults of request headers.
const (
	maxIDBytes      = 200
	maxDeadline     = 10 * time.Minute
	maxFade         = 24 * time.Hour
	defaultDeadline = 10 * time.Second
	defaultWorth    = 1
)

// A HeaderError reports a header whose name or value is not allowed.
type HeaderError struct {
	Header  string
	Value   string
	Allowed string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: %q is not allowed: want %s", e.Header, e.Value, e.Allowed)
}

// ParseRequest parses the headers of a request that arrives at now. Errors are
// of type [*HeaderError].
func ParseRequest(now time.Time, s spoolsill.ServiceID, head http.Header) (spoolsill.Request, error) {
	p := headerParser{
		head: head,
	}
	p.checkNames()
	r := spoolsill.Request{
		Service:      s,
		Key:          spoolsill.RequestKey(p.id(HeaderKey)),
		Caller:       spoolsill.CallerID(p.id(HeaderCaller)),
		Class:        p.class(),
		Worth:        p.number(HeaderWorth, defaultWorth, spoolsill.MaxWorth),
		Fade:         p.duration(HeaderFade, 0, maxFade),
		Unrepeatable: p.flag(HeaderUnrepeatable),
	}
	r.Deadline = now.Add(p.duration(HeaderDeadline, defaultDeadline, maxDeadline))
	r.Issued = p.issued(now)
	if r.Unrepeatable {
		p.require(r.Key != "", HeaderKey, "", "a key, since the request is unrepeatable")
		p.require(head.Get(HeaderIssued) != "", HeaderIssued, "", "the time at which the key was made, since the request is unrepeatable")
	}
	if p.err != nil {
		return spoolsill.Request{}, p.err
	}
	return r, nil
}

type headerParser struct {
	head http.Header
	err  error
}

// require records an error if ok is false and none has been recorded before.
func (p *headerParser) require(ok bool, header, value, allowed string) {
	if ok || p.err != nil {
		return
	}
	p.err = &HeaderError{
		Header:  header,
		Value:   value,
		Allowed: allowed,
	}
}

var knownHeaders = map[string]bool{
	HeaderKey:          true,
	HeaderCaller:       true,
	HeaderDeadline:     true,
	HeaderFade:         true,
	HeaderClass:        true,
	HeaderWorth:        true,
	HeaderUnrepeatable: true,
	HeaderIssued:       true,
}

// checkNames rejects unknown and repeated headers whose names start with
// headerPrefix.
func (p *headerParser) checkNames() {
	for h, v := range p.head {
		if !strings.HasPrefix(h, headerPrefix) {
			continue
		}
		p.require(knownHeaders[h], h, v[0], "none: there is no such header")
		p.require(len(v) == 1, h, strings.Join(v, ", "), "one value")
	}
}

func (p *headerParser) id(h string) string {
	v := p.head.Get(h)
	p.require(len(v) <= maxIDBytes, h, v, fmt.Sprintf("at most %d bytes", maxIDBytes))
	for _, c := range []byte(v) {
		p.require(c > ' ' && c < 0x7f, h, v, "printable ASCII without spaces")
	}
	return v
}

func (p *headerParser) class() spoolsill.Class {
	var c spoolsill.Class
	v := p.head.Get(HeaderClass)
	p.require(c.UnmarshalText([]byte(v)) == nil, HeaderClass, v, "urgent, normal or patient")
	return c
}

func (p *headerParser) number(h string, def, high int) int {
	v := p.head.Get(h)
	if v == "" {
		return def
	}
	n, err := strconv.Atoi(v)
	p.require(err == nil && n >= 0 && n <= high, h, v, fmt.Sprintf("0 to %d", high))
	return n
}

func (p *headerParser) duration(h string, def, high time.Duration) time.Duration {
	v := p.head.Get(h)
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	p.require(err == nil && d >= 0 && d <= high, h, v, fmt.Sprintf("a duration like \"1.5s\", 0s to %s", high))
	return d
}

func (p *headerParser) flag(h string) bool {
	v := p.head.Get(h)
	p.require(v == "" || v == "true" || v == "false", h, v, "true or false")
	return v == "true"
}

// issued parses the time at which the key was created, which defaults to now. It
// rejects a time that is ahead of this host's clock by maxClockSkew or more, since
// such a time could hide that the key was created before this host started.
func (p *headerParser) issued(now time.Time) time.Time {
	v := p.head.Get(HeaderIssued)
	if v == "" {
		return now
	}
	n, err := strconv.ParseInt(v, 10, 64)
	t := time.UnixMilli(n)
	p.require(err == nil && n > 0 && t.Before(now.Add(maxClockSkew)), HeaderIssued, v, "Unix time in milliseconds, not ahead of now")
	return t
}
