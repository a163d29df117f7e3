package config

import (
	"strings"
	"testing"
)

// All sockets together stay within the limit, and nearly all of them are for users and
// workers, as one controller may have to serve the workers of all controllers.
func TestSockets(t *testing.T) {
	settings, err := loadSettings(t, strings.Replace(validSettings, "1200", "3389", 1))
	if err != nil {
		t.Fatal(err)
	}
	rest := settings.PeerSockets() + CommandSockets + ownSockets + len(settings.Peers)
	if public := settings.PublicSockets(); public+rest > 3389 || public < 3200 {
		t.Errorf("%d sockets for users and workers, %d for the rest", public, rest)
	}
	// Few sockets are a violation only when the controller can't serve at all.
	if _, err := loadSettings(t, strings.Replace(validSettings, "1200", "150", 1)); err != nil {
		t.Errorf("150 sockets: %v", err)
	}
}
