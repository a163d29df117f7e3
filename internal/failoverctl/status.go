// Package failoverctl implements the operators' command "standby show". It shows the leader
// and its standby as every controller sees them, how far each controller's replica of the
// records lags, and the last takeovers.
package failoverctl

import (
	"context"
	"sync"
	"time"

	"micaport/internal/config"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Records reads the records on the state service; *store.AdminClient does.
type Records interface {
	List(ctx context.Context, prefix string) (map[string]kv.Event, error)
}

// Query asks the controller at an address (host:port) for its status; peer.QueryLeadership
// does.
type Query func(ctx context.Context, address string, timeout time.Duration) (wire.LeadershipStatus, error)

// queryTimeout is how long a controller has to answer.
const queryTimeout = 2 * time.Second

// Controller is the status of one controller.
type Controller struct {
	wire.LeadershipStatus
	// Lag is how many revisions its replica of the records is behind the most recent one of
	// all controllers.
	Lag   uint64 `json:"lag"`
	Fault string `json:"fault,omitempty"` // the error if it could not be queried
}

// Overview is what the command shows.
type Overview struct {
	Controllers []Controller    `json:"controllers"`
	Takeovers   []wire.Takeover `json:"takeovers"`
	Fault       string          `json:"fault,omitempty"` // the error if the takeovers could not be read
}

// Read queries all controllers at the same time and then reads the last takeovers. Errors are
// part of the overview.
func Read(ctx context.Context, settings *config.Settings, records Records, query Query) *Overview {
	overview := &Overview{Controllers: queryAll(ctx, settings.Controllers(), query), Takeovers: []wire.Takeover{}}
	setLags(overview.Controllers)
	stored, err := records.List(ctx, wire.TakeoversKey)
	if err != nil {
		overview.Fault = err.Error()
		return overview
	}
	if takeovers, ok := stored[wire.TakeoversKey].Value.(*wire.Takeovers); ok {
		overview.Takeovers = takeovers.List
	}
	return overview
}

// queryAll queries controllers and waits for all answers.
func queryAll(ctx context.Context, peers []config.Peer, query Query) []Controller {
	controllers := make([]Controller, len(peers))
	var queries sync.WaitGroup
	for i, peer := range peers {
		queries.Go(func() {
			status, err := query(ctx, peer.Address, queryTimeout)
			status.Controller = peer.Label
			controllers[i] = Controller{LeadershipStatus: status}
			if err != nil {
				controllers[i].Fault = err.Error()
			}
		})
	}
	queries.Wait()
	return controllers
}

// setLags sets the lags of the controllers that could be queried.
func setLags(controllers []Controller) {
	latest := uint64(0)
	for i := range controllers {
		latest = max(latest, controllers[i].Revision)
	}
	for i := range controllers {
		if c := &controllers[i]; c.Fault == "" {
			c.Lag = latest - c.Revision
		}
	}
}
