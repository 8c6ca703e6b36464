package document_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/document"
)

type item struct {
	Wait document.Duration `json:"wait"`
	Size int               `json:"size"`
}

type list struct {
	Name  string `json:"name"`
	Items []item `json:"items"`
}

// Guards against a decoder that stops at the first problem, and against lines that
// shift once a field with a problem was taken out.
func TestAllProblemsOfDecodingAreFoundOnTheirLines(t *testing.T) {
	is := is.New(t)
	const text = `{
  "name": 7, // a number
  "naem": {
    "x": 1
  },
  "items": [
    {"wait": "soon", "size": 3},
    {"wait": "2s", "size": "large", "size": 4},
    {"wait": "3s", "width": 2, /* a comment */ "size": 5,},
  ],
  "last": true
}`
	var decoded list
	err := document.Decode("f", []byte(text), &decoded)
	var found *document.ProblemsError
	is.True(errors.As(err, &found))
	type place struct {
		line         int
		field, value string
	}
	places := map[place]bool{}
	for _, p := range found.Problems {
		t.Log(p)
		places[place{p.Line, p.Field, p.Value}] = true
	}
	is.Equal(len(found.Problems), 7)
	is.True(places[place{2, "/name", "7"}])
	is.True(places[place{3, "/naem", ""}])
	is.True(places[place{7, "/items/0/wait", `"soon"`}])
	is.True(places[place{8, "/items/1/size", `"large"`}]) // the wrong type
	is.True(places[place{8, "/items/1/size", ""}])        // written twice
	is.True(places[place{9, "/items/2/width", "2"}])
	is.True(places[place{11, "/last", "true"}])
	is.Equal(len(decoded.Items), 3)
	is.Equal(decoded.Items[2].Size, 5) // fields without a problem are decoded
}

// Guards against a decoder that does not end when the document has another type.
func TestDocumentOfAnotherTypeHasOneProblem(t *testing.T) {
	is := is.New(t)
	var found *document.ProblemsError
	is.True(errors.As(document.Decode("f", []byte(`[1, 2]`), &list{}), &found))
	is.Equal(len(found.Problems), 1)
	is.NoErr(document.Decode("f", []byte(`{"name": "a"}`), &list{}))
}
