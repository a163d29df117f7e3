// Package failoverctl implements the operators' command "standby show". It shows the leader and
// its standby according to each controller, how far each controller's replica of the records
// lags, and the last takeovers.
package failoverctl

import (
	"context"
	"sync"
	"time"

	"micaport/internal/config"
	"micaport/internal/kv"
	"micaport/internal/wire"
)

// Records reads the records in the state service. *store.AdminClient implements it.
type Records interface {
	List(ctx context.Context, prefix string) (map[string]kv.Event, error)
}

// Query queries the controller at an address (host:port) for its status. peer.QueryLeadership
// implements it.
type Query func(ctx context.Context, address string, timeout time.Duration) (wire.LeadershipStatus, error)

// queryTimeout is how long a controller has to answer.
const queryTimeout = 2 * time.Second

// Controller is the status of one controller.
type Controller struct {
	wire.LeadershipStatus
	// Lag is the number of revisions by which the controller's replica of the records is
	// behind the most recent replica of all controllers.
	Lag        uint64 `json:"lag"`
	QueryError string `json:"fault,omitempty"` // the error if the controller could not be queried
}

// Overview is the output of the command.
type Overview struct {
	Controllers    []Controller    `json:"controllers"`
	Takeovers      []wire.Takeover `json:"takeovers"`
	TakeoversError string          `json:"fault,omitempty"` // the error if the takeovers could not be read
}

// Read queries all controllers concurrently and then reads the last takeovers. Errors are
// reported in the overview.
func Read(ctx context.Context, settings *config.Settings, records Records, query Query) *Overview {
	overview := &Overview{Controllers: queryAll(ctx, settings.Controllers(), query), Takeovers: []wire.Takeover{}}
	setLags(overview.Controllers)
	stored, err := records.List(ctx, wire.TakeoversKey)
	if err != nil {
		overview.TakeoversError = err.Error()
		return overview
	}
	if takeovers, ok := stored[wire.TakeoversKey].Value.(*wire.Takeovers); ok {
		overview.Takeovers = takeovers.List
	}
	return overview
}

// queryAll queries the controllers concurrently and returns their statuses in the same order.
func queryAll(ctx context.Context, peers []config.Peer, query Query) []Controller {
	controllers := make([]Controller, len(peers))
	var queries sync.WaitGroup
	for i, peer := range peers {
		queries.Go(func() {
			status, err := query(ctx, peer.Address, queryTimeout)
			status.Controller = peer.Label
			controllers[i] = Controller{LeadershipStatus: status}
			if err != nil {
				controllers[i].QueryError = err.Error()
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
		if c := &controllers[i]; c.QueryError == "" {
			c.Lag = latest - c.Revision
		}
	}
}
