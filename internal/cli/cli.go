package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/spoolsill/spoolsill/api"
)

// The exit codes of all commands.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the command failed, or a run violated an invariant
	ExitUsage       = 2 // invalid flags, settings, job file or request
	ExitStale       = 3 // the plan, or the base version of a configuration, is out of date
	ExitNotRun      = 4 // the request definitely did not run
	ExitUnknown     = 5 // the operation may or may not have taken effect
	ExitUnreachable = 6 // no entry host, or no holder of the hall's lease, is reachable
	ExitNotFound    = 7 // the named job, request or worker does not exist
)

// A Command defines the flags and subcommands. It is parsed by kong.
type Command struct {
	Hosts []string `help:"Entry hosts, as IP:port, tried in order." default:"127.0.0.1:7101" env:"SPOOLSILL_HOSTS" placeholder:"IP:PORT"`
	JSON  bool     `help:"Print JSON instead of tables." name:"json"`

	Check    checkCommand    `cmd:"" help:"Check settings, configuration and job files without touching anything."`
	Plan     planCommand     `cmd:"" help:"Show exactly what an intent would change. Changes nothing."`
	Confirm  confirmCommand  `cmd:"" help:"Have a plan applied as it was shown. Safe to repeat after a lost answer."`
	Submit   submitCommand   `cmd:"" help:"Plan a job and, after a yes, confirm the plan."`
	Cancel   cancelCommand   `cmd:"" help:"Plan the end of jobs and, after a yes, confirm the plan."`
	Drain    drainCommand    `cmd:"" help:"Move all work off a worker, or keep new requests from a runner."`
	Status   statusCommand   `cmd:"" help:"List jobs with the states of their tasks."`
	Explain  explainCommand  `cmd:"" help:"Say why a job, task or request is where it is."`
	Story    storyCommand    `cmd:"" help:"Tell the story of a request, job, task, worker or host from saved logs."`
	Losses   lossesCommand   `cmd:"" help:"Count from saved logs why jobs were not in time."`
	Picture  pictureCommand  `cmd:"" help:"Draw a span of time from saved logs."`
	Workers  workersCommand  `cmd:"" help:"List workers."`
	HostList hostsCommand    `cmd:"" name:"hosts" help:"List entry hosts."`
	Config   configCommand   `cmd:"" help:"Read and change the configuration of the cell."`
	Timeline timelineCommand `cmd:"" help:"Merge the events of all hosts, causes before effects."`
	Call     callCommand     `cmd:"" help:"Send one request to a service."`
	Bench    benchCommand    `cmd:"" help:"Measure the decisions and what carries them."`
	Demo     demoCommand     `cmd:"" help:"Run the whole path with stand-ins, failures included, in one process."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

const description = `Command line of Spoolsill, the scheduler of services, batch runs, gang jobs and single requests.

Nothing changes until a plan is confirmed: "plan" shows what would change, "confirm" applies exactly that or reports that the plan is stale. "submit", "cancel" and "drain" do both and ask before they confirm, unless --yes is given.`

// An Env holds the context and the standard streams of a command.
type Env struct {
	Context context.Context //nolint:containedctx // the Run methods that kong calls take no context
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
}

// Main parses args, runs the selected command and returns the exit code.
func Main(e Env, args []string) int {
	var c Command
	code := -1
	k, err := kong.New(&c,
		kong.Name("spoolsill"),
		kong.Description(description),
		kong.Writers(e.Out, e.Err),
		kong.Exit(func(n int) { code = n }),
		kong.UsageOnError(),
	)
	if err != nil {
		panic(err)
	}
	parsed, err := k.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintln(e.Err, "spoolsill:", err)
		return ExitUsage
	}
	s := &session{
		env:  e,
		json: c.JSON,
		client: &api.Client{
			Hosts: c.Hosts,
		},
	}
	if err := parsed.Run(s); err != nil {
		fmt.Fprintln(e.Err, "spoolsill:", err)
		return exitCode(err)
	}
	return ExitOK
}

// A session holds what the Run methods of the commands share.
type session struct {
	env    Env
	json   bool
	client *api.Client
}

func (s *session) ctx() context.Context {
	return s.env.Context
}

// print writes v as indented JSON if --json is set, and otherwise calls writeText.
func (s *session) print(v any, writeText func(w io.Writer)) error {
	if !s.json {
		writeText(s.env.Out)
		return nil
	}
	e := json.NewEncoder(s.env.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// An exitError is an error that sets the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{
		code: code,
		err:  fmt.Errorf(format, args...),
	}
}

// exitCodeByStatusCode maps the codes of [api.StatusError] to exit codes. The exit code for
// other codes is ExitFailed.
var exitCodeByStatusCode = map[string]int{
	"stale":       ExitStale,
	"bad-input":   ExitUsage,
	"intent":      ExitUsage,
	"no-job":      ExitNotFound,
	"not-holder":  ExitUnreachable,
	"unreachable": ExitUnreachable,
	"not-lasting": ExitUnknown,
	"unknown":     ExitUnknown,
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	var r *api.StatusError
	if errors.As(err, &r) {
		if c, ok := exitCodeByStatusCode[r.Code]; ok {
			return c
		}
		return ExitFailed
	}
	if errors.Is(err, api.ErrNoHostReachable) {
		return ExitUnreachable
	}
	return ExitFailed
}

type versionCommand struct{}

// Run prints the version of the main module.
func (c *versionCommand) Run(s *session) error {
	v := version()
	return s.print(map[string]string{
		"version": v,
	}, func(w io.Writer) {
		fmt.Fprintln(w, "spoolsill", v)
	})
}

func version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok || b.Main.Version == "" {
		return "(devel)"
	}
	return b.Main.Version
}

func readFile(name string) (string, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return "", exitErrorf(ExitUsage, "%w", err)
	}
	return string(b), nil
}

// confirmPrompt prints a question to standard error and reports whether the answer on
// standard input is yes.
func (s *session) confirmPrompt(question string) bool {
	fmt.Fprintf(s.env.Err, "%s [y/N] ", question)
	var answer string
	_, _ = fmt.Fscanln(s.env.In, &answer)
	answer = strings.ToLower(strings.TrimSpace(answer))
	return answer == "y" || answer == "yes"
}
