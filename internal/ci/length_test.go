package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// longestFunction is how many lines a function may have, tests aside.
const longestFunction = 60

// A function that does not fit a screen does more than one thing.
func TestFunctionsAreShort(t *testing.T) {
	checked := 0
	for _, root := range []string{"../../cmd", "../../internal"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			for _, d := range file.Decls {
				f, is := d.(*ast.FuncDecl)
				if !is {
					continue
				}
				checked++
				if lines := files.Position(f.End()).Line - files.Position(f.Pos()).Line + 1; lines > longestFunction {
					t.Errorf("%s: %s has %d lines, more than %d", path, f.Name.Name, lines, longestFunction)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if checked < 500 {
		t.Errorf("only %d functions were checked", checked)
	}
}
