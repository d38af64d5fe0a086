package daemon

import (
	"context"
	"time"

	"rhubarbdrift.example/model"
)

// noQueues admits all requests at once.
type noQueues struct{}

// Enter returns at once.
func (noQueues) Enter(context.Context, model.PoolID, *model.Customer, time.Time) (func(), error) {
	return func() {}, nil
}
