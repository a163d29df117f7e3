package config

import (
	"strings"
	"testing"
)

// The numbers of sockets add up to at most the limit. Nearly all sockets must be for users and
// workers, as a single controller may have to serve the workers of all controllers.
func TestSockets(t *testing.T) {
	settings, err := loadSettings(t, strings.Replace(validSettings, "1200", "3389", 1))
	if err != nil {
		t.Fatal(err)
	}
	rest := settings.PeerSockets() + CommandSockets + reservedSockets + len(settings.Peers)
	if public := settings.PublicSockets(); public+rest > 3389 || public < 3200 {
		t.Errorf("%d sockets for users and workers, %d for the rest", public, rest)
	}
	// A low limit is a violation only if the controller can't serve at all.
	if _, err := loadSettings(t, strings.Replace(validSettings, "1200", "150", 1)); err != nil {
		t.Errorf("150 sockets: %v", err)
	}
}
