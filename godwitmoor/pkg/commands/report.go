package commands

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
)

// Values of the field "kind" of a JSON line.
const (
	errorKind      = "error"
	warningKind    = "warning"
	validKind      = "valid"
	inForceKind    = "in-force"
	differenceKind = "difference"
)

// problemLine is the JSON line of an error or a warning. Value is JSON text, as in the
// file.
type problemLine struct {
	Kind    string `json:"kind"`
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Value   string `json:"value,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// validLine is the JSON line of a file without errors.
type validLine struct {
	Kind      string `json:"kind"`
	Tiers     int    `json:"tiers"`
	Customers int    `json:"customers"`
	Services  int    `json:"services"`
	Rules     int    `json:"rules"`
	Routes    int    `json:"routes"`
}

type inForceLine struct {
	Kind    string `json:"kind"`
	Version int64  `json:"version"`
}

// differenceLine is the JSON line of a field that differs; Before and After are JSON
// text, and are absent if the field is.
type differenceLine struct {
	Kind   string `json:"kind"`
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// reporter prints what a check finds, as text or as JSON lines.
type reporter struct {
	out    io.Writer
	asJSON bool
}

// errors prints the problems in err as JSON lines and returns an error with their
// number. As text, and for errors of another kind, it returns err itself.
func (r reporter) errors(err error) error {
	var found *document.ProblemsError
	if !r.asJSON || !errors.As(err, &found) {
		return err
	}
	if err := r.problems(errorKind, found.Problems); err != nil {
		return err
	}
	return &ErrorsError{Count: len(found.Problems)}
}

func (r reporter) warnings(problems []document.Problem) error {
	return r.problems(warningKind, problems)
}

func (r reporter) problems(kind string, problems []document.Problem) error {
	for _, p := range problems {
		line := problemLine{Kind: kind, File: p.File, Line: p.Line, Field: p.Field, Value: p.Value, Message: p.Message, Remedy: p.Remedy}
		if err := r.print(line, kind+": "+p.String()); err != nil {
			return err
		}
	}
	return nil
}

func (r reporter) valid(c configuration.Configuration) error {
	text := fmt.Sprintf("valid: %d tiers, %d customers, %d services, %d rules",
		len(c.Tiers), len(c.Customers), len(c.Services), len(c.Rules))
	return r.print(validLine{
		Kind: validKind, Tiers: len(c.Tiers), Customers: len(c.Customers),
		Services: len(c.Services), Rules: len(c.Rules), Routes: len(c.Routes),
	}, text)
}

func (r reporter) inForce(version int64) error {
	return r.print(inForceLine{Kind: inForceKind, Version: version}, fmt.Sprintf("in force: version %d", version))
}

func (r reporter) differences(before, after configuration.Configuration) error {
	differences, err := configuration.Differences(before, after)
	if err != nil {
		return err
	}
	if len(differences) == 0 && !r.asJSON {
		fmt.Fprintln(r.out, "no difference")
	}
	for _, d := range differences {
		line := differenceLine{Kind: differenceKind, Field: d.Field, Before: d.Before, After: d.After}
		if err := r.print(line, d.String()); err != nil {
			return err
		}
	}
	return nil
}

// print prints one line, as text or as JSON.
func (r reporter) print(line any, text string) error {
	if !r.asJSON {
		fmt.Fprintln(r.out, text)
		return nil
	}
	return errors.Wrap(json.NewEncoder(r.out).Encode(line), "print a JSON line")
}

// warningsError returns the error of a check that found these warnings; nil without any.
func warningsError(warnings []document.Problem) error {
	if len(warnings) == 0 {
		return nil
	}
	return &WarningsError{Count: len(warnings)}
}
