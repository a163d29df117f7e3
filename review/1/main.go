//go:build review

// Command 1 sends submissions that are not MessagePack, as the protocol page lets users do. See
// claim.txt.
package main

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"micaport/review/standin"
)

func main() { standin.Main(os.Args[1], standin.Small(), check) }

// bodies returns the bodies that a user sends: malformed ones, or with trouble unset the same
// submissions as they should be.
func bodies(d *standin.Deployment, trouble bool) [][]byte {
	if !trouble {
		return [][]byte{
			standin.Encode(d.Submission("wk-000500", "menara", 1, 1, 0, 3.2, 25, 20*time.Second)),
			standin.Encode(d.Submission("wk-000501", "menara", 1, 1, 0, 3.2, 25, 20*time.Second)),
		}
	}
	// A map with the field rigs, a list that ends after its header (array 32, ff ff ff ff).
	list := append(standin.Encode(standin.Map{"ref": "wk-000500"}), "\xa4rigs\xdd\xff\xff\xff\xff"...)
	list[0]++ // the map has two fields
	// A map that ends after its header (map 32, 16,777,216 entries).
	return [][]byte{list, []byte("\xdf\x01\x00\x00\x00")}
}

func check(d *standin.Deployment, trouble bool) int {
	if !d.WaitUntilServing() {
		return standin.NotRun
	}
	stop := make(chan struct{})
	var platform sync.WaitGroup
	for _, node := range d.Nodes {
		platform.Go(func() { d.LimitMemory(node, stop) })
	}
	broken := false
	for i, body := range bodies(d, trouble) {
		// The user retries as the page says: after 1 s or more, for up to 60 s in total, unless
		// it gets one of the final answers. The load balancer gives it another controller.
		for try := range 4 {
			node := d.Nodes[(i+try)%len(d.Nodes)]
			answer := d.SubmitTo(node, "a submission", body)
			if answer.Status == http.StatusBadRequest || answer.Status == http.StatusCreated {
				break
			}
			broken = true
			time.Sleep(time.Second)
		}
		time.Sleep(d.Site.Restart + 2*time.Second)
	}
	close(stop)
	platform.Wait()
	for _, node := range d.Nodes {
		if ends := node.EndedByItself(); len(ends) > 0 {
			broken = true
			d.Record.Logf("%s ended %d times: %s", node.Label, len(ends), strings.Join(ends, "; "))
		}
	}
	if broken {
		return standin.Broken
	}
	return standin.Held
}
