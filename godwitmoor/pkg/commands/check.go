package commands

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

const (
	statusErrors   = 1
	statusWarnings = 2

	exitStatusHelp = "Exit status: 0 if nothing was found, 1 after an error, 2 if there are only warnings."
)

// WarningsError reports that a check found warnings and no error.
type WarningsError struct{ Count int }

func (e *WarningsError) Error() string { return "warnings: " + fmt.Sprint(e.Count) }

// ErrorsError reports that a check found errors, which were already printed.
type ErrorsError struct{ Count int }

func (e *ErrorsError) Error() string { return "errors: " + fmt.Sprint(e.Count) }

// ExitStatus returns the exit status of a command that returned err.
func ExitStatus(err error) int {
	var warnings *WarningsError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &warnings):
		return statusWarnings
	default:
		return statusErrors
	}
}

// checkFlags returns the flags of commands that check a configuration file.
func checkFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of a host, whose limits the configuration must not contradict"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON lines"},
	}
}

// checkedFile is a configuration file that could be decoded.
type checkedFile struct {
	text          string
	configuration configuration.Configuration
	warnings      []document.Problem
}

// checkFile reads and checks the configuration file named by the only argument, and
// the settings file if there is one. It returns the errors of both files. Warnings are
// found only if both files could be read.
func checkFile(c *cli.Command) (checkedFile, error) {
	if c.Args().Len() != 1 {
		return checkedFile{}, &UsageError{Message: "pass exactly one configuration file"}
	}
	name := c.Args().First()
	data, err := os.ReadFile(name)
	if err != nil {
		return checkedFile{}, errors.Wrap(err, "read the configuration")
	}
	host, settingsErr := readSettings(c.String("settings"))
	parsed, err := configuration.Parse(name, data)
	if err = joinProblems(err, settingsErr); err != nil {
		return checkedFile{}, err
	}
	findings := parsed.Review(host.limits())
	warnings := configuration.Locate(name, data, findings.Warnings)
	checked := checkedFile{text: string(data), configuration: parsed, warnings: append(warnings, host.review(&parsed)...)}
	if len(findings.Errors) > 0 {
		return checked, &document.ProblemsError{Problems: configuration.Locate(name, data, findings.Errors)}
	}
	return checked, nil
}

// joinProblems returns the problems of both errors in one error. Of errors of another
// kind it returns the first.
func joinProblems(first, second error) error {
	var a, b *document.ProblemsError
	switch {
	case first == nil:
		return second
	case errors.As(first, &a) && errors.As(second, &b):
		return &document.ProblemsError{Problems: append(a.Problems, b.Problems...)}
	case errors.As(first, &a) && second != nil:
		return second
	default:
		return first
	}
}

// hostSettings is a settings file of a host. The zero value sets no limit.
type hostSettings struct {
	file   string
	data   []byte
	parsed settings.Settings
}

func readSettings(file string) (hostSettings, error) {
	if file == "" {
		return hostSettings{}, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return hostSettings{}, errors.Wrap(err, "read the settings file; check the path given with --settings")
	}
	parsed, err := settings.Parse(file, data, settings.Overrides{})
	return hostSettings{file: file, data: data, parsed: parsed}, err
}

func (h hostSettings) limits() configuration.HostLimits {
	return configuration.HostLimits{Memory: h.parsed.MemoryBytes(), Repeats: h.repeats()}
}

// repeats returns the bound on repeats; nil if the settings have none.
func (h hostSettings) repeats() *configuration.RepeatLimit {
	p := h.parsed.Platform
	if p == nil || p.RepeatWindow <= 0 {
		return nil
	}
	return &configuration.RepeatLimit{Ratio: p.RepeatRatio, Slack: p.RepeatSlack}
}

// review returns the limits of the settings that the configuration never reaches.
func (h hostSettings) review(c *configuration.Configuration) []document.Problem {
	limit := h.repeats()
	if limit == nil {
		return nil
	}
	problem, found := c.ReviewRepeats(*limit)
	if !found {
		return nil
	}
	problem.Field = "/platform/repeat-ratio"
	return document.Locate(h.file, h.data, []document.Problem{problem})
}
