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

// MaxFileBytes is the length in bytes of the longest settings file.
const MaxFileBytes = 1 << 20

// An Error says what is wrong with a settings file.
type Error struct {
	File string
	Line int // 0: not known
	Key  string
	Text string
}

// Error implements error.
func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", at, e.Text)
	}
	return fmt.Sprintf("%s: %s: %s", at, e.Key, e.Text)
}

// A Duration is a time.Duration that is written as in "1.5s".
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

// Settings are those of one entry host.
type Settings struct {
	Host     Host      `toml:"host"`
	Platform Platform  `toml:"platform"`
	Halls    []Hall    `toml:"hall"`
	Services []Service `toml:"service"`
	Lease    Lease     `toml:"lease"`
	Log      Log       `toml:"log"`
}

// A Host is the process itself.
type Host struct {
	// ID is one of the hosts listed under hall. All hosts of a deployment can
	// share one file in which it is left out, and get it from the command line.
	ID spoolsill.HostID `toml:"id"`
	// HTTPAddress and PeerAddress are the host's own addresses, from its entry under hall.
	HTTPAddress string `toml:"-"`
	PeerAddress string `toml:"-"`
	// DrainDelay is the time between readiness off and the end of accepting,
	// for the balancer to notice.
	DrainDelay Duration `toml:"drain_delay"`
	// StopTimeout bounds a planned stop.
	StopTimeout Duration `toml:"stop_within"`
}

// A Platform is where the platform's services are.
type Platform struct {
	URL     string   `toml:"url"`
	Timeout Duration `toml:"timeout"`
	// ReadsPerSecond and WritesPerSecond are this host's share of the cell's budget, a second.
	ReadsPerSecond  int `toml:"reads_per_second"`
	WritesPerSecond int `toml:"writes_per_second"`
}

// A Hall lists the entry hosts of one hall.
type Hall struct {
	ID     spoolsill.HallID `toml:"id"`
	Region string           `toml:"region"`
	Hosts  []HallHost       `toml:"host"`
}

// A HallHost is one entry host: its IP and port for other entry hosts, and the one
// for callers and operators.
type HallHost struct {
	ID          spoolsill.HostID `toml:"id"`
	PeerAddress string           `toml:"peer"`
	HTTPAddress string           `toml:"http"`
}

// A Service is one service that callers send requests to.
type Service struct {
	ID spoolsill.ServiceID `toml:"id"`
	// Slots is how many requests a runner takes at once, Connections how many
	// connections, each over all entry hosts.
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
	// SlotLifetime bounds how long a request occupies a runner.
	SlotLifetime Duration `toml:"slot_lifetime"`
	// MaxBodyBytes and MaxAnswerBytes bound lengths in bytes.
	MaxBodyBytes   int64 `toml:"max_body_bytes"`
	MaxAnswerBytes int64 `toml:"max_answer_bytes"`
	// MaxQueued bounds the waiting requests of one host.
	MaxQueued int `toml:"queue"`
}

// A Lease has the times of the hall's lease and of tasks' leases.
type Lease struct {
	Hall Duration `toml:"hall"`
	Task Duration `toml:"task"`
}

// A Log says what is logged.
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

// Load reads and checks a settings file, for the host that it names, or for
// another one of the deployment when id is not empty. It fails with an
// [*Error].
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

// Parse reads and checks the text of a settings file. It fails with an
// [*Error]; file only names the text in it.
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
	s.fill()
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

// Defaults of a service.
const (
	DefaultSlots          = 8
	DefaultConnections    = 60
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxAnswerBytes = 16 << 20
	DefaultMaxQueued      = 4096
)

func (s *Settings) fill() {
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

// OwnHall returns the hall that the host stands in.
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

// HostIDs returns the ids of the hall's hosts, in order.
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

// IsAddrPort reports whether s is an IP number and a port.
func IsAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
