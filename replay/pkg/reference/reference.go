// Package reference generates the operators' reference page of all settings from
// the doc comments of the structs that hold them, so that the page always matches
// the code.
package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
)

// Source is a Go file whose structs become one chapter of the page.
type Source struct {
	Title string
	// File is the path of the Go file, relative to the root of the repository.
	File string
	// Structs are the names of the structs to list, in the order of the page.
	Structs []string
}

// Sources are the chapters of the page, in order.
var Sources = []Source{
	{
		Title: "The configuration of a deployment", File: "coordination/pkg/configuration/configuration.go",
		Structs: []string{"Configuration", "Tier", "Customer", "Service", "Endpoint", "Rule", "Claims"},
	},
	{
		Title: "The routes of a deployment", File: "coordination/pkg/configuration/routes.go",
		Structs: []string{"Route", "Target", "Quota"},
	},
	{Title: "The settings of a host", File: "godwitmoord/pkg/settings/settings.go", Structs: []string{"Settings", "Platform"}},
	{Title: "A trace", File: "replay/pkg/trace/trace.go", Structs: []string{"Trace", "Stream", "Fault", "Expect", "TierShare"}},
}

// Write generates the page from the sources of the repository at root and writes
// it to w.
func Write(w io.Writer, root string) error {
	fmt.Fprint(w, "# Reference of all settings\n\nMade from the source by `make reference`; a test compares them. All files are JSON with comments.\n")
	for _, s := range Sources {
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, s.File), nil, parser.ParseComments)
		if err != nil {
			return errors.Wrap(err, "parse the source of a chapter")
		}
		fmt.Fprintf(w, "\n## %s\n", s.Title)
		for _, name := range s.Structs {
			if err := writeStruct(w, file, name); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeStruct(w io.Writer, file *ast.File, name string) error {
	for _, declaration := range file.Decls {
		genDecl, isGenDecl := declaration.(*ast.GenDecl)
		if !isGenDecl || genDecl.Tok != token.TYPE {
			continue
		}
		for _, spec := range genDecl.Specs {
			typeSpec, isType := spec.(*ast.TypeSpec)
			if !isType || typeSpec.Name.Name != name {
				continue
			}
			structType, isStruct := typeSpec.Type.(*ast.StructType)
			if !isStruct {
				continue
			}
			fmt.Fprintf(w, "\n### %s\n\n%s\n\n| field | type | meaning |\n| --- | --- | --- |\n", name, oneLine(genDecl.Doc.Text()))
			for _, field := range structType.Fields.List {
				writeField(w, field)
			}
			return nil
		}
	}
	return errors.Newf("struct %s, which is listed in reference.Sources, does not exist in its file", name)
}

func writeField(w io.Writer, field *ast.Field) {
	if field.Tag == nil {
		return
	}
	tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Get("json")
	name, _, _ := strings.Cut(tag, ",")
	fmt.Fprintf(w, "| `%s` | %s | %s |\n", name, typeName(field.Type), oneLine(field.Doc.Text()))
}

func typeName(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.Ident:
		return t.Name
	case *ast.SelectorExpr:
		return strings.ToLower(t.Sel.Name)
	case *ast.StarExpr:
		return typeName(t.X)
	case *ast.ArrayType:
		return "list of " + typeName(t.Elt)
	default:
		return "value"
	}
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
