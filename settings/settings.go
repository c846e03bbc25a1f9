package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/zero"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// An Error describes the first problem found in a settings file.
type Error struct {
	File string
	Line int // 0 if unknown
	Key  string
	Text string
}

// Error implements error.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", location, e.Text)
	}
	return fmt.Sprintf("%s: %s: %s", location, e.Key, e.Text)
}

// A Duration is a time.Duration with a text encoding such as "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is no duration: want one like \"1.5s\" or \"200ms\"", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Settings are the settings of one entry host.
type Settings struct {
	Host     Host      `toml:"host"`
	Platform Platform  `toml:"platform"`
	Halls    []Hall    `toml:"hall"`
	Services []Service `toml:"service"`
	Lease    Lease     `toml:"lease"`
	Log      Log       `toml:"log"`
}

// A Host has the settings of the process itself.
type Host struct {
	// ID is the id of one of the hosts listed under hall. A file that is shared
	// by all hosts of a deployment can omit it; it is then passed on the command
	// line.
	ID spoolsill.HostID `toml:"id"`
	// HTTPAddress and PeerAddress are copied from the host's entry under hall.
	HTTPAddress string `toml:"-"`
	PeerAddress string `toml:"-"`
	// DrainDelay is how long a stopping host still accepts requests after it
	// reports that it is not ready, so that the load balancer can react.
	DrainDelay Duration `toml:"drain_delay"`
	// StopTimeout is the maximum duration of a graceful shutdown.
	StopTimeout Duration `toml:"stop_within"`
}

// A Platform has the address and the call budget of the platform's services.
type Platform struct {
	URL     string   `toml:"url"`
	Timeout Duration `toml:"timeout"`
	// ReadsPerSecond and WritesPerSecond limit this host's calls to its share of
	// the cell's budget.
	ReadsPerSecond  int `toml:"reads_per_second"`
	WritesPerSecond int `toml:"writes_per_second"`
}

// A Hall lists the entry hosts of one hall.
type Hall struct {
	ID     spoolsill.HallID `toml:"id"`
	Region string           `toml:"region"`
	Hosts  []HallHost       `toml:"host"`
}

// A HallHost describes one entry host of a hall. PeerAddress serves other entry
// hosts, HTTPAddress serves callers and operators; each is an IP address and port.
type HallHost struct {
	ID          spoolsill.HostID `toml:"id"`
	PeerAddress string           `toml:"peer"`
	HTTPAddress string           `toml:"http"`
}

// A Service has the settings of one service, to which callers send requests.
type Service struct {
	ID spoolsill.ServiceID `toml:"id"`
	// Slots is the maximum number of concurrent requests of a runner and
	// Connections its maximum number of connections, each in total over all
	// entry hosts.
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
	// SlotLifetime is the maximum time that a request occupies a slot.
	SlotLifetime Duration `toml:"slot_lifetime"`
	// MaxBodyBytes and MaxAnswerBytes limit the bodies of requests and responses.
	MaxBodyBytes   int64 `toml:"max_body_bytes"`
	MaxAnswerBytes int64 `toml:"max_answer_bytes"`
	// MaxQueued is the maximum number of requests queued at one host.
	MaxQueued int `toml:"queue"`
}

// A Lease has the durations of the hall's lease and of task leases.
type Lease struct {
	Hall Duration `toml:"hall"`
	Task Duration `toml:"task"`
}

// A Log has the settings of the log.
type Log struct {
	Level string `toml:"level"`
}

func defaults() Settings {
	return Settings{
		Host: Host{
			DrainDelay:  Duration(2 * time.Second),
			StopTimeout: Duration(30 * time.Second),
		},
		Platform: Platform{
			Timeout:         Duration(time.Second),
			ReadsPerSecond:  40,
			WritesPerSecond: 20,
		},
		Lease: Lease{
			Hall: Duration(5 * time.Second),
			Task: Duration(15 * time.Second),
		},
		Log: Log{
			Level: "info",
		},
	}
}

// Load reads and validates a settings file. If id is not empty, it replaces the
// host id of the file. Errors are of type [*Error].
func Load(file string, id spoolsill.HostID) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{
			File: file,
			Text: err.Error(),
		}
	}
	return Parse(file, b, id)
}

// Parse is like [Load] but takes the text of the file. The name of the file is only
// used in errors.
func Parse(file string, text []byte, id spoolsill.HostID) (Settings, error) {
	if len(text) > MaxFileBytes {
		return Settings{}, &Error{
			File: file,
			Text: fmt.Sprintf("%d bytes, at most %d", len(text), MaxFileBytes),
		}
	}
	s := defaults()
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s); err != nil {
		return Settings{}, decodeError(file, err)
	}
	if id != "" {
		s.Host.ID = id
	}
	s.complete()
	c := checker{
		file: file,
		text: text,
	}
	c.check(s)
	if c.err != nil {
		return Settings{}, c.err
	}
	return s, nil
}

func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		line, _ := e.Position()
		return &Error{
			File: file,
			Line: line,
			Key:  strings.Join(e.Key(), "."),
			Text: "unknown key",
		}
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		line, _ := d.Position()
		return &Error{
			File: file,
			Line: line,
			Key:  strings.Join(d.Key(), "."),
			Text: strings.TrimPrefix(d.Error(), "toml: "),
		}
	}
	return &Error{
		File: file,
		Text: err.Error(),
	}
}

// Defaults of a [Service].
const (
	DefaultSlots          = 8
	DefaultConnections    = 60
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxAnswerBytes = 16 << 20
	DefaultMaxQueued      = 4096
)

// complete sets the host's own addresses and the defaults of services.
func (s *Settings) complete() {
	for _, h := range s.Halls {
		for _, p := range h.Hosts {
			if p.ID == s.Host.ID {
				s.Host.HTTPAddress = p.HTTPAddress
				s.Host.PeerAddress = p.PeerAddress
			}
		}
	}
	for i := range s.Services {
		v := &s.Services[i]
		zero.Default(&v.Slots, DefaultSlots)
		zero.Default(&v.Connections, DefaultConnections)
		zero.Default(&v.MaxBodyBytes, DefaultMaxBodyBytes)
		zero.Default(&v.MaxAnswerBytes, DefaultMaxAnswerBytes)
		zero.Default(&v.MaxQueued, DefaultMaxQueued)
		zero.Default(&v.SlotLifetime, Duration(30*time.Second))
	}
}

// OwnHall returns the hall of the host itself.
func (s Settings) OwnHall() Hall {
	for _, h := range s.Halls {
		for _, p := range h.Hosts {
			if p.ID == s.Host.ID {
				return h
			}
		}
	}
	return Hall{}
}

// HostIDs returns the ids of the hall's hosts in ascending order.
func (h Hall) HostIDs() []spoolsill.HostID {
	out := make([]spoolsill.HostID, 0, len(h.Hosts))
	for _, p := range h.Hosts {
		out = append(out, p.ID)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i] < out[j]
	})
	return out
}

// IsAddrPort reports whether s is an IP address and port.
func IsAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
