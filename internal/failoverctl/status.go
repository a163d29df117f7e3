// Package leadership serves the operators' command that shows who leads, who stands by,
// how far each controller's copy of the records is behind, and the last takeovers.
package failoverctl

import (
	"sync"
	"time"

	"micaport/internal/config"
	"micaport/internal/core"
	"micaport/internal/wire"
)

// Records is the state service, as far as the command needs it.
type Records interface {
	List(prefix string) (map[string]core.Event, error)
}

// Ask asks the controller at an address for its view.
type Ask func(address string, patience time.Duration) (wire.LeadershipStatus, error)

// timeout is how long a controller has for its answer.
const patience = 2 * time.Second

// Controller is what one controller answered.
type Controller struct {
	wire.LeadershipStatus
	// Lag is how many revisions its copy of the records is behind the furthest that any
	// controller has told.
	Lag   uint64 `json:"lag"`
	Fault string `json:"fault,omitempty"` // why there is no answer
}

// Overview is what the command shows.
type Overview struct {
	Controllers []Controller    `json:"controllers"`
	Takeovers   []wire.Takeover `json:"takeovers"`
	Fault       string          `json:"fault,omitempty"` // why the takeovers could not be read
}

// Read asks all controllers at once, and the state service for the last takeovers. What
// does not answer is named in the result.
func Read(settings *config.Settings, records Records, ask Ask) *Overview {
	peers := append([]config.Peer{{Label: settings.Label, Address: settings.ClusterBind}}, settings.Peers...)
	overview := &Overview{Controllers: make([]Controller, len(peers)), Takeovers: []wire.Takeover{}}
	var wait sync.WaitGroup
	for i, p := range peers {
		wait.Go(func() {
			status, err := ask(p.Address, patience)
			status.Controller = p.Label
			overview.Controllers[i] = Controller{LeadershipStatus: status}
			if err != nil {
				overview.Controllers[i].Fault = err.Error()
			}
		})
	}
	wait.Wait()
	furthest := uint64(0)
	for _, c := range overview.Controllers {
		furthest = max(furthest, c.Revision)
	}
	for i := range overview.Controllers {
		if c := &overview.Controllers[i]; c.Fault == "" {
			c.Lag = furthest - c.Revision
		}
	}
	stored, err := records.List(wire.TakeoversKey)
	if err != nil {
		overview.Fault = err.Error()
		return overview
	}
	if record, is := stored[wire.TakeoversKey].Value.(*wire.Takeovers); is {
		overview.Takeovers = record.List
	}
	return overview
}
