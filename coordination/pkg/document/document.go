// Package document reads JSON with comments into typed values and names every
// fault by file, line, field and remedy.
//
// # Usage
//
//	var settings Settings
//	err := document.Decode("host.jsonc", data, &settings)
//
// Unknown fields, doubled fields and wrong types are faults. Checks of the
// values themselves are the caller's; Locate turns the fields they name into
// lines of the same file.
package document

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// Problem is one fault of a document.
type Problem struct {
	File string
	// Line counts from 1; zero if the place is not known.
	Line int
	// Field is a JSON pointer, such as /tiers/0/deadline.
	Field   string
	Message string
	Remedy  string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", p.File, p.Line, p.Field, p.Message, p.Remedy)
}

// ProblemsError lists all the faults found in one reading.
type ProblemsError struct{ Problems []Problem }

func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Duration is a time.Duration written as text, such as "2.5s".
type Duration time.Duration

// MarshalText gives the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a Go duration, such as "300ms" or "24h".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"300ms\" or \"24h\"", string(text))
	}
	*d = Duration(parsed)
	return nil
}

// Std gives the duration as the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Decode reads data, a JSON text with comments and trailing commas, into the
// value that into points at. Faults come back as *ProblemsError.
func Decode(file string, data []byte, into any) error {
	// Standardize overwrites comments with blanks in place, so offsets still
	// point into the original text.
	plain, err := hujson.Standardize(append([]byte(nil), data...))
	if err != nil {
		return syntaxProblem(file, err)
	}
	err = json.Unmarshal(plain, into, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	problem := Problem{File: file, Line: 1, Field: "/", Message: err.Error(), Remedy: "correct the value"}
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &semantic):
		problem.Line = lineAt(data, int(semantic.ByteOffset))
		problem.Field = string(semantic.JSONPointer)
		problem.Message, problem.Remedy = explainSemantic(semantic)
		if line := lineOf(data, problem.Field); line > 0 {
			problem.Line = line
		}
	case errors.As(err, &syntactic):
		problem.Line = lineAt(data, int(syntactic.ByteOffset))
		problem.Field = string(syntactic.JSONPointer)
		problem.Message = syntactic.Err.Error()
		problem.Remedy = "write each field once, as valid JSON"
	}
	return &ProblemsError{Problems: []Problem{problem}}
}

// Locate fills in the file and the line of each problem from its field.
func Locate(file string, data []byte, problems []Problem) []Problem {
	located := make([]Problem, len(problems))
	for i, p := range problems {
		p.File = file
		p.Line = lineOf(data, p.Field)
		located[i] = p
	}
	return located
}

func explainSemantic(e *json.SemanticError) (message, remedy string) {
	if errors.Is(e.Err, json.ErrUnknownName) {
		return "unknown field", "remove it or correct its name"
	}
	if e.Err != nil {
		return e.Err.Error(), "correct the value"
	}
	return fmt.Sprintf("a JSON %v does not fit here", e.JSONKind), fmt.Sprintf("write a value for %v", e.GoType)
}

func syntaxProblem(file string, err error) error {
	problem := Problem{File: file, Field: "/", Message: err.Error(), Remedy: "write valid JSON; comments and trailing commas are allowed"}
	// hujson gives the place in its text alone: "hujson: line 3, column 5: …".
	var column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &problem.Line, &column); scanErr != nil {
		problem.Line = 1
	}
	return &ProblemsError{Problems: []Problem{problem}}
}

// lineOf gives the line of the field, or of its nearest parent that is there.
func lineOf(data []byte, field string) int {
	root, err := hujson.Parse(data)
	if err != nil {
		return 0
	}
	for {
		if found := root.Find(field); found != nil {
			return lineAt(data, found.StartOffset)
		}
		cut := strings.LastIndexByte(field, '/')
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
}

func lineAt(data []byte, offset int) int {
	offset = min(max(offset, 0), len(data))
	return 1 + strings.Count(string(data[:offset]), "\n")
}
