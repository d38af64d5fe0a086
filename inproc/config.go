package inproc

import (
	"context"
	"fmt"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Pools is the number of pools in a configuration made by SampleConfig.
const Pools = 200

// SampleConfig returns a configuration of the given sizes, with two API keys per
// customer. The routes and targets are distributed evenly over the pools, the targets
// also over 3 regions and 10 failure domains.
func SampleConfig(customers, routes, targets int) *model.Intent {
	in := new(model.Intent)
	for i := range customers {
		id := fmt.Sprintf("customer-%05d", i)
		in.Customers = append(in.Customers, model.Customer{ID: model.CustomerID(id), Rate: 1000, Burst: 2000, Weight: 1, Keys: []model.Key{
			{ID: "a", Digest: model.DigestOf([]byte(id + "a"))}, {ID: "b", Digest: model.DigestOf([]byte(id + "b"))},
		}})
	}
	for i := range Pools {
		in.Pools = append(in.Pools, model.Pool{ID: PoolID(i), Floor: 0.5, Probe: "/health"})
	}
	for i := range targets {
		p := &in.Pools[i%Pools]
		p.Targets = append(p.Targets, model.Target{
			ID: TargetID(i), Address: fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250),
			Region: model.Region(fmt.Sprintf("region-%d", i%3)), Domain: model.Domain(fmt.Sprintf("domain-%d", i%10)), Slots: 6, Connections: 330,
		})
	}
	for i := range routes {
		in.Routes = append(in.Routes, model.Route{
			ID: model.RouteID(fmt.Sprintf("route-%04d", i)), Host: fmt.Sprintf("service-%03d.example", i%Pools),
			Prefix: fmt.Sprintf("/part-%04d/", i), Pool: PoolID(i % Pools), Deadline: 5000,
		})
	}
	return in
}

// PoolID returns the ID of a pool by number.
func PoolID(i int) model.PoolID { return model.PoolID(fmt.Sprintf("pool-%03d", i)) }

// TargetID returns the ID of a target by number.
func TargetID(i int) model.TargetID { return model.TargetID(fmt.Sprintf("target-%05d", i)) }

// HostID returns the ID of a host by number.
func HostID(i int) model.HostID { return model.HostID(fmt.Sprintf("host-%03d", i)) }

// Commit writes the configuration to the store as the given version, with a
// placeholder for the audit record. Versions start at 1 and must be committed in
// order.
func Commit(ctx context.Context, s store.Store, in *model.Intent, version model.ConfigVersion) error {
	audit := fmt.Appendf(nil, "record %d", version)
	root, chunks, err := conf.Build(in, version, model.DigestOf(audit), fmt.Sprintf("change-%d", version))
	if err != nil {
		return err
	}
	var rootVersion store.Version
	if version > 1 {
		if _, rootVersion, err = conf.ReadRoot(ctx, s); err != nil {
			return err
		}
	}
	_, err = conf.Commit(ctx, s, rootVersion, root, chunks, audit)
	return err
}
