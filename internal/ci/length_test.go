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

// maxFunctionLines is how many lines a function may have, tests aside.
const maxFunctionLines = 60

// A function that does not fit a screen does more than one thing.
func TestFunctionsAreShort(t *testing.T) {
	const minFunctions = 500 // fewer were not all of the repository's
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
			for _, declaration := range file.Decls {
				function, ok := declaration.(*ast.FuncDecl)
				if !ok {
					continue
				}
				checked++
				if lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1; lines > maxFunctionLines {
					t.Errorf("%s: %s has %d lines, more than %d", path, function.Name.Name, lines, maxFunctionLines)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if checked < minFunctions {
		t.Errorf("only %d functions were checked, want at least %d", checked, minFunctions)
	}
}
