package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const architecturePage = "../../docs/architecture.md"

// TestArchitectureNamesExist checks that every directory, and every function, type and method
// that the architecture page names, exists.
func TestArchitectureNamesExist(t *testing.T) {
	text, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	names := declaredNames(t)
	span := regexp.MustCompile("`([^`]+)`")
	identifier := regexp.MustCompile(`^([a-z]+)\.[A-Za-z]\w*(\.[A-Za-z]\w*)?$`)
	checked := 0
	for _, match := range span.FindAllStringSubmatch(string(text), -1) {
		name := match[1]
		switch {
		case strings.HasPrefix(name, "internal/") || strings.HasPrefix(name, "cmd/") || strings.HasPrefix(name, "testdata/"):
			if info, err := os.Stat(filepath.Join("../..", name)); err != nil || !info.IsDir() {
				t.Errorf("%s is not a directory", name)
			}
		case identifier.MatchString(name):
			if !names[name] {
				t.Errorf("%s is not declared", name)
			}
		default:
			continue
		}
		checked++
	}
	if checked < 60 {
		t.Errorf("only %d names were checked", checked)
	}
}

// TestArchitectureListsAllPackages checks that the architecture page names every package.
func TestArchitectureListsAllPackages(t *testing.T) {
	text, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	directories, err := filepath.Glob("../*")
	if err != nil {
		t.Fatal(err)
	}
	for _, directory := range directories {
		if name := "`internal/" + filepath.Base(directory) + "`"; !strings.Contains(string(text), name) {
			t.Errorf("%s is not on the page", name)
		}
	}
}

// declaredNames returns the names that the packages declare outside of their tests, in the form
// package.Name or package.Type.Method.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			addNames(names, file.Name.Name, declaration)
		}
	}
	return names
}

// addNames adds the names that a declaration declares.
func addNames(names map[string]bool, packageName string, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		names[packageName+receiver(d)+"."+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				names[packageName+"."+s.Name.Name] = true
			case *ast.ValueSpec:
				for _, name := range s.Names {
					names[packageName+"."+name.Name] = true
				}
			}
		}
	}
}

// receiver returns "." and the type of a method's receiver, or "" for a function.
func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	receiverType := d.Recv.List[0].Type
	if pointer, is := receiverType.(*ast.StarExpr); is {
		receiverType = pointer.X
	}
	if name, is := receiverType.(*ast.Ident); is {
		return "." + name.Name
	}
	return "."
}
