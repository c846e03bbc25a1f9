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
	c.checkName("host.id", string(s.Host.ID))
	c.checkDuration("host.drain_delay", s.Host.DrainDelay, 0, time.Minute)
	c.checkDuration("host.stop_within", s.Host.StopTimeout, time.Second, 10*time.Minute)
	u, err := url.Parse(s.Platform.URL)
	c.require(err == nil && u.Scheme == "http" && IsAddrPort(u.Host), "platform.url", s.Platform.URL, "an http:// URL with an IP address and port")
	c.checkDuration("platform.timeout", s.Platform.Timeout, 10*time.Millisecond, time.Minute)
	c.checkInt("platform.reads_per_second", s.Platform.ReadsPerSecond, 1, 10_000)
	c.checkInt("platform.writes_per_second", s.Platform.WritesPerSecond, 1, 10_000)
	c.checkDuration("lease.hall", s.Lease.Hall, 500*time.Millisecond, time.Minute)
	c.checkDuration("lease.task", s.Lease.Task, time.Second, 10*time.Minute)
	_, err = logrus.ParseLevel(s.Log.Level)
	c.require(err == nil, "log.level", s.Log.Level, "debug, info, warn or error")
	c.checkHalls(s)
	c.checkServices(s.Services)
}

func (c *checker) checkName(key, v string) {
	c.require(namePattern.MatchString(v), key, v, nameAllowed)
}

func (c *checker) checkAddress(key, v string) {
	c.require(IsAddrPort(v), key, v, "an IP number and port, as in 127.0.0.1:7001")
}

func (c *checker) checkDuration(key string, v Duration, low, high time.Duration) {
	d := time.Duration(v)
	c.require(d >= low && d <= high, key, v, fmt.Sprintf("%s to %s", low, high))
}

func (c *checker) checkInt(key string, v, low, high int) {
	c.require(v >= low && v <= high, key, v, fmt.Sprintf("%d to %d", low, high))
}

// maxHostsPerHall is the maximum number of entry hosts of a hall.
const maxHostsPerHall = 3

func (c *checker) checkHalls(s Settings) {
	halls := map[spoolsill.HallID]bool{}
	hosts := map[spoolsill.HostID]bool{}
	for i, h := range s.Halls {
		key := fmt.Sprintf("hall[%d]", i)
		c.checkName(key+".id", string(h.ID))
		c.require(!halls[h.ID], key+".id", h.ID, "a hall that is listed once")
		c.checkInt(key+".host", len(h.Hosts), 1, maxHostsPerHall)
		halls[h.ID] = true
		for j, host := range h.Hosts {
			key := fmt.Sprintf("hall[%d].host[%d]", i, j)
			c.checkName(key+".id", string(host.ID))
			c.require(!hosts[host.ID], key+".id", host.ID, "a host that is listed once")
			c.checkAddress(key+".peer", host.PeerAddress)
			c.checkAddress(key+".http", host.HTTPAddress)
			hosts[host.ID] = true
		}
	}
	c.require(hosts[s.Host.ID], "host.id", s.Host.ID, "one of the hosts listed under hall")
}

func (c *checker) checkServices(list []Service) {
	seen := map[spoolsill.ServiceID]bool{}
	c.require(len(list) > 0, "service", "none", "at least one service")
	for i, svc := range list {
		key := fmt.Sprintf("service[%d]", i)
		c.checkName(key+".id", string(svc.ID))
		c.require(!seen[svc.ID], key+".id", svc.ID, "a service that is listed once")
		c.checkInt(key+".slots", svc.Slots, 1, 1024)
		c.checkInt(key+".connections", svc.Connections, svc.Slots, 10_000)
		c.checkDuration(key+".slot_lifetime", svc.SlotLifetime, 100*time.Millisecond, time.Hour)
		c.checkInt(key+".max_body_bytes", int(svc.MaxBodyBytes), 1, 1<<30)
		c.checkInt(key+".max_answer_bytes", int(svc.MaxAnswerBytes), 1, 1<<30)
		c.checkInt(key+".queue", svc.MaxQueued, 1, 1_000_000)
		seen[svc.ID] = true
	}
}

// lineOf returns the line that sets a key such as "hall[1].host[0].id". If no
// line sets it, lineOf returns the line of the table header, or 0 if there is none.
func lineOf(text []byte, key string) int {
	dot := strings.LastIndexByte(key, '.')
	if dot < 0 {
		return 0
	}
	section, name := key[:dot], key[dot+1:]
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

// sectionName returns the path of a TOML table header with the indexes of its
// arrays, as in "hall[1].host[0]". counts has the number of array headers seen so
// far for each path.
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
