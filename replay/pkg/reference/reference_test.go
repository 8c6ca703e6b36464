package reference_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/replay/pkg/reference"
)

func TestPageIsUpToDate(t *testing.T) {
	is := is.New(t)
	var made bytes.Buffer
	is.NoErr(reference.Write(&made, "../../.."))
	page, err := os.ReadFile("../../../docs/operators/REFERENCE.md")
	is.NoErr(err)
	is.Equal(string(page), made.String()) // if it differs, run make reference and commit the page
}
