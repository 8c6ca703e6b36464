package document

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// withoutProblem returns a copy of data without the field that the error is about, so
// that decoding finds the next problem. It returns false if the error names no field
// that can be taken out.
func withoutProblem(data []byte, err error) ([]byte, bool) {
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &semantic) && errors.Is(semantic.Err, json.ErrUnknownName):
		return withoutMember(data, semantic.JSONPointer)
	case errors.As(err, &semantic):
		return withNull(data, semantic.JSONPointer)
	case errors.As(err, &syntactic) && errors.Is(syntactic.Err, jsontext.ErrDuplicateName):
		return withoutMember(data, syntactic.JSONPointer)
	}
	return nil, false
}

// withoutMember removes the last member of an object that has the pointer's name.
func withoutMember(data []byte, pointer jsontext.Pointer) ([]byte, bool) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, false
	}
	parent := root.Find(string(pointer.Parent()))
	if parent == nil {
		return nil, false
	}
	object, isObject := parent.Value.(*hujson.Object)
	if !isObject {
		return nil, false
	}
	for _, m := range slices.Backward(object.Members) {
		name, isLiteral := m.Name.Value.(hujson.Literal)
		if !isLiteral || name.String() != pointer.LastToken() {
			continue
		}
		end := m.Value.EndOffset
		after := bytes.TrimLeft(data[end:], " \t\r\n")
		if bytes.HasPrefix(after, []byte(",")) {
			end = len(data) - len(after) + 1
		}
		return replaceBytes(data, m.Name.StartOffset, end, ""), true
	}
	return nil, false
}

// withNull replaces a value by null, which decodes as the zero value of any type.
func withNull(data []byte, pointer jsontext.Pointer) ([]byte, bool) {
	const null = "null"
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, false
	}
	found := root.Find(string(pointer))
	if found == nil || string(data[found.StartOffset:found.EndOffset]) == null {
		return nil, false
	}
	return replaceBytes(data, found.StartOffset, found.EndOffset, null), true
}

// replaceBytes replaces a range of data and keeps its line breaks, so that the lines
// of what follows stay the same.
func replaceBytes(data []byte, start, end int, text string) []byte {
	lineBreaks := bytes.Repeat([]byte("\n"), bytes.Count(data[start:end], []byte("\n")))
	return slices.Concat(data[:start], []byte(text), lineBreaks, data[end:])
}
