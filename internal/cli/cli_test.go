package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/cli"
)

func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = cli.Main(cli.Env{
		Context: context.Background(),
		In:      strings.NewReader(""),
		Out:     &o,
		Err:     &e,
	}, args)
	return code, o.String(), e.String()
}

func TestHelpListsCommands(t *testing.T) {
	c := qt.New(t)
	code, out, _ := run("--help")
	c.Assert(code, qt.Equals, cli.ExitOK)
	for _, w := range []string{"check", "plan", "confirm", "submit", "cancel", "drain", "status", "explain", "workers", "hosts", "config", "timeline", "call", "bench", "demo", "version"} {
		c.Check(out, qt.Contains, "\n  "+w)
	}
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "job.toml")
	qt.Assert(t, os.WriteFile(bad, []byte("id = 3"), 0o600), qt.IsNil)
	tests := []struct {
		name string
		args []string
		code int
		text string
	}{
		{
			name: "unknown flag",
			args: []string{"status", "--speed"},
			code: cli.ExitUsage,
			text: "unknown flag --speed",
		},
		{
			name: "bad job file",
			args: []string{"check", "--job", bad},
			code: cli.ExitUsage,
			text: "1 of 1 files can't be accepted",
		},
		{
			name: "nothing to check",
			args: []string{"check"},
			code: cli.ExitUsage,
			text: "name a file",
		},
		{
			name: "no host",
			args: []string{"--hosts", "127.0.0.1:1", "status"},
			code: cli.ExitUnreachable,
			text: "no entry host can be reached",
		},
		{
			name: "no host for a request",
			args: []string{"--hosts", "127.0.0.1:1", "call", "quizdesk"},
			code: cli.ExitUnreachable,
			text: "no entry host can be reached",
		},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			code, _, errs := run(x.args...)
			qt.Check(t, code, qt.Equals, x.code)
			qt.Check(t, errs, qt.Contains, x.text)
		})
	}
}

func TestCheckExamplesJSON(t *testing.T) {
	c := qt.New(t)
	code, out, errs := run("--json", "check", "--settings", "../../examples/tbilisi.toml", "--config", "../../examples/config.toml", "--job", "../../examples/jobs/gang.toml")
	c.Assert(code, qt.Equals, cli.ExitOK, qt.Commentf("%s", errs))
	var list []struct {
		Fine bool `json:"fine"`
	}
	c.Assert(json.Unmarshal([]byte(out), &list), qt.IsNil)
	c.Assert(list, qt.HasLen, 3)
}
