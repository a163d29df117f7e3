package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against bytes from outside that are decoded without the check of wire.Decode: the library
// allocates memory for as many elements as a message states.
func TestOnlyWireDecodesMessagePack(t *testing.T) {
	const allowed = "../wire/codec.go"
	decoder := regexp.MustCompile(`msgpack\.(Unmarshal|NewDecoder|GetDecoder)\b`)
	found := false
	for _, pattern := range []string{"../*/*.go", "../../cmd/*/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range files {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if strings.HasSuffix(path, "_test.go") || !decoder.Match(text) {
				continue
			}
			if path != allowed {
				t.Errorf("%s calls %s, want wire.Decode", path, decoder.Find(text))
			}
			found = true
		}
	}
	if !found {
		t.Errorf("%s decodes nothing", allowed)
	}
}
