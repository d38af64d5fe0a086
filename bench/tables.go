package bench

import (
	"context"
	"fmt"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Numbers of configured objects expected of the fleet in two years (docs/design.md, 1.6).
const (
	routeCount    = 3700
	customerCount = 26000
	targetCount   = 7900
	poolCount     = 200
)

const (
	// callers is the number of customers that send requests. Each sends an equal
	// fraction of the rate.
	callers = 32
	// bodySize is the length of a response body in bytes.
	bodySize = 1024
	// slots is the configured number of slots of each stand-in target. It equals
	// the number of connections that a daemon opens to a target, so that bursts
	// wait in the queue.
	slots = exch.DefaultMaxConnections
	// directSlots is the number of requests that a stand-in target executes at once.
	// It exceeds slots, so that bursts of direct calls are not shed.
	directSlots = 256
	// path belongs to a route of the first pool, whose targets are the stand-ins.
	path = "/service-0/part-9"
	// region and domain are those of the daemon and of the stand-in targets.
	region model.Region = "north"
	domain model.Domain = "north-a"
)

// keyOf returns the API key of a customer by number.
func keyOf(customer int) string { return fmt.Sprintf("bench-key-%d", customer) }

// customerID returns the ID of a customer by number.
func customerID(n int) model.CustomerID { return model.CustomerID(fmt.Sprintf("customer-%d", n)) }

// tables returns a configuration of full size. Only the first pool has targets
// that exist, at the given addresses; no request is sent to the others.
func tables(addresses []string) *model.Intent {
	intent := new(model.Intent)
	for i := range customerCount {
		intent.Customers = append(intent.Customers, model.Customer{
			ID: customerID(i), Rate: 1000, Burst: 1000, Weight: 1,
			Keys: []model.Key{{ID: "k1", Digest: model.DigestOf([]byte(keyOf(i)))}},
		})
	}
	for i := range poolCount {
		intent.Pools = append(intent.Pools, model.Pool{ID: model.PoolID(fmt.Sprintf("service-%d", i)), Floor: 0.6})
	}
	for i := range targetCount - len(addresses) {
		p := &intent.Pools[1+i%(poolCount-1)]
		p.Targets = append(p.Targets, model.Target{
			ID: model.TargetID(fmt.Sprintf("target-%d", i)), Address: fmt.Sprintf("127.%d.%d.1:9000", 1+i/250, i%250),
			Region: region, Domain: domain, Slots: 6,
		})
	}
	for i, a := range addresses {
		intent.Pools[0].Targets = append(intent.Pools[0].Targets, model.Target{
			ID: model.TargetID(fmt.Sprintf("real-%d", i)), Address: a, Region: region, Domain: domain, Slots: slots,
		})
	}
	for i := range routeCount {
		intent.Routes = append(intent.Routes, model.Route{
			ID: model.RouteID(fmt.Sprintf("route-%d", i)), Prefix: fmt.Sprintf("/service-%d/part-%d", i%poolCount, i/poolCount),
			Pool: intent.Pools[i%poolCount].ID, Deadline: 10_000,
		})
	}
	return intent
}

// commit writes the configuration to the store as its first version.
func commit(ctx context.Context, s store.Store, intent *model.Intent) error {
	audit := []byte("bench")
	root, chunks, err := conf.Build(intent, 1, model.DigestOf(audit), "bench")
	if err != nil {
		return err
	}
	_, err = conf.Commit(ctx, s, 0, root, chunks, audit)
	return err
}
