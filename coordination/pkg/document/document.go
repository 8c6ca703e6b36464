// Package document decodes JSON with comments into typed values and reports every
// problem with its file, line, field and a remedy.
//
// # Usage
//
//	var settings Settings
//	err := document.Decode("host.jsonc", data, &settings)
//
// Unknown fields, duplicate fields and wrong types are problems; all of them are
// returned, and the other fields are decoded. The caller checks the values
// themselves; Locate adds the file, the line and the value to the problems that these
// checks find.
package document

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

const (
	// maxDecodeProblems bounds how often a document is decoded, as one of another format
	// has a problem in each field.
	maxDecodeProblems = 100
	// maxValueBytes is the longest value that is shown with a problem.
	maxValueBytes = 200
)

// Problem is one error in a document.
type Problem struct {
	File string
	// Line counts from 1; zero if the line is unknown.
	Line int
	// Field is a JSON pointer, such as /tiers/0/deadline.
	Field string
	// Value is the field's value as JSON; empty if the field is absent or is a list or
	// an object.
	Value   string
	Message string
	Remedy  string
}

func (p Problem) String() string {
	text := fmt.Sprintf("%s:%d: %s: %s; %s", p.File, p.Line, p.Field, p.Message, p.Remedy)
	if p.Value == "" {
		return text
	}
	return fmt.Sprintf("%s (value %s)", text, p.Value)
}

// ProblemsError contains all problems found in one document.
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

// MarshalText encodes the duration in the format that UnmarshalText reads.
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

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Decode decodes data, JSON with comments and trailing commas, into the value that
// into points to. Problems are returned as a *ProblemsError. Fields with a problem
// are then left at their zero value, and all others are decoded, unless data is not
// valid JSON.
func Decode(file string, data []byte, into any) error {
	target := reflect.ValueOf(into).Elem()
	initial := reflect.New(target.Type()).Elem()
	initial.Set(target)
	var problems []Problem
	rest := bytes.Clone(data)
	for len(problems) < maxDecodeProblems {
		target.Set(initial)
		// Standardize replaces comments with spaces in place, so that byte offsets are
		// the same as in the original text.
		standardized, err := hujson.Standardize(rest)
		if err != nil {
			return syntaxProblem(file, err)
		}
		err = json.Unmarshal(standardized, into, json.RejectUnknownMembers(true))
		if err == nil {
			break
		}
		problems = append(problems, describe(file, standardized, err))
		var repaired bool
		if rest, repaired = withoutProblem(standardized, err); !repaired {
			break
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return &ProblemsError{Problems: problems}
}

// describe returns the problem that an error in decoding data reports.
func describe(file string, data []byte, err error) Problem {
	problem := Problem{File: file, Line: 1, Field: "/", Message: err.Error(), Remedy: "correct the value"}
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &semantic):
		problem.Line = lineAtOffset(data, int(semantic.ByteOffset))
		problem.Field = string(semantic.JSONPointer)
		problem.Message, problem.Remedy = explainSemantic(semantic)
		problem.Value = valueOf(data, problem.Field)
		if line := lineOf(data, problem.Field); line > 0 {
			problem.Line = line
		}
	case errors.As(err, &syntactic):
		problem.Line = lineAtOffset(data, int(syntactic.ByteOffset))
		problem.Field = string(syntactic.JSONPointer)
		problem.Message = syntactic.Err.Error()
		problem.Remedy = "write each field once, as valid JSON"
	}
	return problem
}

// Locate returns the problems with the file and, from each problem's field, the
// line and the value set.
func Locate(file string, data []byte, problems []Problem) []Problem {
	located := make([]Problem, len(problems))
	for i, p := range problems {
		p.File = file
		p.Line = lineOf(data, p.Field)
		p.Value = valueOf(data, p.Field)
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
	return fmt.Sprintf("a JSON %v is not allowed here", e.JSONKind), fmt.Sprintf("write a value of type %v", e.GoType)
}

func syntaxProblem(file string, err error) error {
	problem := Problem{File: file, Field: "/", Message: err.Error(), Remedy: "write valid JSON; comments and trailing commas are allowed"}
	// hujson reports the position only in the error text, as in
	// "hujson: line 3, column 5: …".
	var column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &problem.Line, &column); scanErr != nil {
		problem.Line = 1
	}
	return &ProblemsError{Problems: []Problem{problem}}
}

// lineOf returns the line of the field or, if it is absent, of its nearest parent
// that is present. It returns zero if data cannot be parsed.
func lineOf(data []byte, field string) int {
	root, err := hujson.Parse(data)
	if err != nil {
		return 0
	}
	for {
		if found := root.Find(field); found != nil {
			return lineAtOffset(data, found.StartOffset)
		}
		cut := strings.LastIndexByte(field, '/')
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
}

// valueOf returns the JSON of the field; empty if it is absent or is a list or an
// object.
func valueOf(data []byte, field string) string {
	root, err := hujson.Parse(data)
	if err != nil {
		return ""
	}
	found := root.Find(field)
	if found == nil {
		return ""
	}
	literal, isLiteral := found.Value.(hujson.Literal)
	if !isLiteral || len(literal) > maxValueBytes {
		return ""
	}
	return string(literal)
}

func lineAtOffset(data []byte, offset int) int {
	offset = min(max(offset, 0), len(data))
	return 1 + strings.Count(string(data[:offset]), "\n")
}
