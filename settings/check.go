package settings

import (
	"fmt"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const nameAllowed = "1 to 63 of a-z, 0-9 and -"

// A checker validates settings and keeps the first error.
type checker struct {
	file string
	text []byte
	err  error
}

// require records an error for key unless ok holds or there is an error already.
func (c *checker) require(ok bool, key string, value any, allowed string) {
	if ok || c.err != nil {
		return
	}
	c.err = &Error{
		File: c.file,
		Line: lineOf(c.text, key),
		Key:  key,
		Text: fmt.Sprintf("%v is not allowed: want %s", formatValue(value), allowed),
	}
}

func formatValue(v any) string {
	switch x := v.(type) {
	case Duration:
		return time.Duration(x).String()
	case int, int64:
		return fmt.Sprint(x)
	default:
		return fmt.Sprintf("%q", fmt.Sprint(x))
	}
}

func (c *checker) check(s Settings) {
	c.name("host.id", string(s.Host.ID))
	c.durationBetween("host.drain_delay", s.Host.DrainDelay, 0, time.Minute)
	c.durationBetween("host.stop_within", s.Host.StopTimeout, time.Second, 10*time.Minute)
	u, err := url.Parse(s.Platform.URL)
	c.require(err == nil && u.Scheme == "http" && IsAddrPort(u.Host), "platform.url", s.Platform.URL, "http:// with an IP number and port")
	c.durationBetween("platform.timeout", s.Platform.Timeout, 10*time.Millisecond, time.Minute)
	c.intBetween("platform.reads_per_second", s.Platform.ReadsPerSecond, 1, 10_000)
	c.intBetween("platform.writes_per_second", s.Platform.WritesPerSecond, 1, 10_000)
	c.durationBetween("lease.hall", s.Lease.Hall, 500*time.Millisecond, time.Minute)
	c.durationBetween("lease.task", s.Lease.Task, time.Second, 10*time.Minute)
	_, err = logrus.ParseLevel(s.Log.Level)
	c.require(err == nil, "log.level", s.Log.Level, "debug, info, warn or error")
	c.halls(s)
	c.services(s.Services)
}

func (c *checker) name(key, v string) {
	c.require(namePattern.MatchString(v), key, v, nameAllowed)
}

func (c *checker) address(key, v string) {
	c.require(IsAddrPort(v), key, v, "an IP number and port, as in 127.0.0.1:7001")
}

func (c *checker) durationBetween(key string, v Duration, low, high time.Duration) {
	d := time.Duration(v)
	c.require(d >= low && d <= high, key, v, fmt.Sprintf("%s to %s", low, high))
}

func (c *checker) intBetween(key string, v, low, high int) {
	c.require(v >= low && v <= high, key, v, fmt.Sprintf("%d to %d", low, high))
}

// maxHostsPerHall is the largest number of entry hosts of a hall.
const maxHostsPerHall = 3

func (c *checker) halls(s Settings) {
	halls := map[spoolsill.HallID]bool{}
	hosts := map[spoolsill.HostID]bool{}
	for i, h := range s.Halls {
		key := fmt.Sprintf("hall[%d]", i)
		c.name(key+".id", string(h.ID))
		c.require(!halls[h.ID], key+".id", h.ID, "a hall that is listed once")
		c.intBetween(key+".host", len(h.Hosts), 1, maxHostsPerHall)
		halls[h.ID] = true
		for j, p := range h.Hosts {
			key := fmt.Sprintf("hall[%d].host[%d]", i, j)
			c.name(key+".id", string(p.ID))
			c.require(!hosts[p.ID], key+".id", p.ID, "a host that is listed once")
			c.address(key+".peer", p.PeerAddress)
			c.address(key+".http", p.HTTPAddress)
			hosts[p.ID] = true
		}
	}
	c.require(hosts[s.Host.ID], "host.id", s.Host.ID, "one of the hosts listed under hall")
}

func (c *checker) services(list []Service) {
	seen := map[spoolsill.ServiceID]bool{}
	c.require(len(list) > 0, "service", "none", "at least one service")
	for i, v := range list {
		key := fmt.Sprintf("service[%d]", i)
		c.name(key+".id", string(v.ID))
		c.require(!seen[v.ID], key+".id", v.ID, "a service that is listed once")
		c.intBetween(key+".slots", v.Slots, 1, 1024)
		c.intBetween(key+".connections", v.Connections, v.Slots, 10_000)
		c.durationBetween(key+".slot_lifetime", v.SlotLifetime, 100*time.Millisecond, time.Hour)
		c.intBetween(key+".max_body_bytes", int(v.MaxBodyBytes), 1, 1<<30)
		c.intBetween(key+".max_answer_bytes", int(v.MaxAnswerBytes), 1, 1<<30)
		c.intBetween(key+".queue", v.MaxQueued, 1, 1_000_000)
		seen[v.ID] = true
	}
}

// lineOf returns the line on which a key such as "hall[1].host[0].id" is set.
// If the key is not set, it returns the line of the table header, or 0 if there
// is none.
func lineOf(text []byte, key string) int {
	at := strings.LastIndexByte(key, '.')
	if at < 0 {
		return 0
	}
	section, name := key[:at], key[at+1:]
	counts := map[string]int{}
	current, line := "", 0
	for i, l := range strings.Split(string(text), "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			current = sectionName(l, counts)
			if current == section {
				line = i + 1
			}
			continue
		}
		k, _, ok := strings.Cut(l, "=")
		if ok && current == section && strings.TrimSpace(k) == name {
			return i + 1
		}
	}
	return line
}

// sectionName returns the path of a table header with the indexes of its
// arrays, as in "hall[1].host[0]". counts has the number of headers seen so far
// for each path.
func sectionName(header string, counts map[string]int) string {
	name := strings.Trim(strings.Fields(header)[0], "[]")
	if !strings.HasPrefix(header, "[[") {
		return name
	}
	parts := strings.Split(name, ".")
	path := ""
	for i, p := range parts {
		if path != "" {
			path += "."
		}
		path += p
		if i == len(parts)-1 {
			counts[path]++
		}
		path = fmt.Sprintf("%s[%d]", path, max(counts[path]-1, 0))
	}
	return path
}
