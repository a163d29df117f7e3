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

// maxFunctionLines is the maximum number of lines of a function outside of tests.
const maxFunctionLines = 60

// Functions must fit on a screen: longer ones usually do more than one thing.
func TestFunctionsAreShort(t *testing.T) {
	const minFunctions = 500 // with fewer, part of the repository has not been checked
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
