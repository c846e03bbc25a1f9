package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/settings"
)

func example(t testing.TB, name string) string {
	b, err := os.ReadFile(filepath.Join("..", "examples", name))
	qt.Assert(t, err, qt.IsNil)
	return string(b)
}

func TestParseExampleDeployments(t *testing.T) {
	tests := []struct {
		file  string
		halls int
		hosts int
	}{
		{
			file:  "tbilisi.toml",
			halls: 3,
			hosts: 6,
		},
		{
			file:  "dar-es-salaam.toml",
			halls: 4,
			hosts: 7,
		},
	}
	for _, x := range tests {
		t.Run(x.file, func(t *testing.T) {
			c := qt.New(t)
			s, err := settings.Parse(x.file, []byte(example(t, x.file)), "")
			c.Assert(err, qt.IsNil)
			c.Assert(s.Halls, qt.HasLen, x.halls)
			n := 0
			for _, h := range s.Halls {
				for _, p := range h.Hosts {
					n++
					o, err := settings.Parse(x.file, []byte(example(t, x.file)), p.ID)
					c.Assert(err, qt.IsNil)
					c.Assert(o.OwnHall().ID, qt.Equals, h.ID)
					c.Assert(o.Host.HTTPAddress, qt.Equals, p.HTTPAddress)
				}
			}
			c.Assert(n, qt.Equals, x.hosts)
		})
	}
}

func TestParseErrorNamesFileLineKeyAndRange(t *testing.T) {
	tests := []struct {
		name        string
		old         string
		replacement string
		want        string
	}{
		{
			name:        "unknown key",
			old:         "drain_delay = \"2s\"",
			replacement: "drain_daley = \"2s\"",
			want:        `f.toml:6: host.drain_daley: unknown key`,
		},
		{
			name:        "wrong type",
			old:         "slots = 8",
			replacement: "slots = \"eight\"",
			want:        `f.toml:24: service.slots: .*`,
		},
		{
			name:        "invalid duration",
			old:         "hall = \"5s\"",
			replacement: "hall = \"5 s\"",
			want:        `f.toml:16: lease.hall: .*`,
		},
		{
			name:        "value out of range",
			old:         "slots = 8",
			replacement: "slots = 0\nqueue = 0",
			want:        `f.toml:.*`,
		},
		{
			name:        "too many slots",
			old:         "slots = 8",
			replacement: "slots = 4000",
			want:        `f.toml:24: service\[0\].slots: 4000 is not allowed: want 1 to 1024`,
		},
		{
			name:        "host name instead of IP address",
			old:         "peer = \"127.0.0.1:7204\"",
			replacement: "peer = \"localhost:7204\"",
			want:        `f.toml:57: hall\[1\].host\[1\].peer: "localhost:7204" is not allowed: want an IP number and port, as in 127.0.0.1:7001`,
		},
		{
			name:        "host not listed under hall",
			old:         "id = \"vake-1\"\ndrain",
			replacement: "id = \"vake-9\"\ndrain",
			want:        `f.toml:5: host.id: "vake-9" is not allowed: want one of the hosts listed under hall`,
		},
		{
			name:        "duplicate host",
			old:         "id = \"didube-2\"",
			replacement: "id = \"vake-2\"",
			want:        `f.toml:.*: hall\[2\].host\[1\].id: "vake-2" is not allowed: want a host that is listed once`,
		},
	}
	text := example(t, "tbilisi.toml")
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(text, x.old), qt.IsTrue)
			_, err := settings.Parse("f.toml", []byte(strings.Replace(text, x.old, x.replacement, 1)), "")
			var e *settings.Error
			c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(err, qt.ErrorMatches, x.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(example(f, "tbilisi.toml"))
	f.Add("[host]\nid = 3")
	f.Add("[[hall]]\n[[hall.host]]\n[[")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Parse("f", []byte(text), "")
		var e *settings.Error
		if err != nil && !errors.As(err, &e) {
			t.Fatal(err)
		}
		if err == nil && s.OwnHall().ID == spoolsill.HallID("") {
			t.Fatal("accepted without a hall")
		}
	})
}
