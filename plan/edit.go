package plan

import (
	"cmp"
	"slices"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// KeyRef identifies one key of a customer.
type KeyRef struct {
	Customer model.CustomerID `json:"customer"`
	Key      model.KeyID      `json:"key"`
}

// KeyGrant adds one key to a customer, or replaces the key with the same id.
type KeyGrant struct {
	Customer model.CustomerID `json:"customer"`
	Key      model.Key        `json:"key"`
}

// Removal lists the ids of the items that an edit removes.
type Removal struct {
	Customers []model.CustomerID `json:"customers,omitempty"`
	Routes    []model.RouteID    `json:"routes,omitempty"`
	Pools     []model.PoolID     `json:"pools,omitempty"`
	Targets   []model.TargetID   `json:"targets,omitempty"`
	Evacuated []model.Domain     `json:"evacuated,omitempty"` // put back into service
}

// Edit is a configuration change that an operator requests. An item of Set whose id
// already exists replaces the existing item as a whole: a customer with its keys, a
// pool with its targets.
type Edit struct {
	Set        model.Intent `json:"set,omitzero"`
	GrantKeys  []KeyGrant   `json:"grant,omitempty"`
	RevokeKeys []KeyRef     `json:"withdraw,omitempty"`
	Remove     Removal      `json:"remove,omitzero"`
}

// DecodeEdit decodes an edit from JSON with comments. It does not validate the
// values; Apply validates the resulting intent.
func DecodeEdit(data []byte) (*Edit, error) {
	e := new(Edit)
	if err := model.DecodeStrict(data, e); err != nil {
		return nil, err
	}
	return e, nil
}

// Apply returns the intent that results from applying the edit to base, which
// is not modified. It returns an error of kind fault.KindInvalid if the edit
// refers to an item that does not exist or if the result is not valid.
func (e *Edit) Apply(base *model.Intent) (*model.Intent, error) {
	next := &model.Intent{
		Customers: upsert(base.Customers, e.Set.Customers, customerID),
		Routes:    upsert(base.Routes, e.Set.Routes, routeID),
		Pools:     upsert(base.Pools, e.Set.Pools, poolID),
		Evacuated: upsert(base.Evacuated, e.Set.Evacuated, domainID),
	}
	steps := []func(*model.Intent) error{e.grant, e.revoke, e.removeItems, e.removeTargets}
	for _, step := range steps {
		if err := step(next); err != nil {
			return nil, err
		}
	}
	sortItems(next)
	if err := next.Check(); err != nil {
		return nil, err
	}
	return next, nil
}

func customerID(c model.Customer) model.CustomerID { return c.ID }
func routeID(r model.Route) model.RouteID          { return r.ID }
func poolID(p model.Pool) model.PoolID             { return p.ID }
func targetID(t model.Target) model.TargetID       { return t.ID }
func domainID(d model.Domain) model.Domain         { return d }
func keyID(k model.Key) model.KeyID                { return k.ID }

// upsert returns a copy of base in which each item of set is added, or replaces
// the item with the same id.
func upsert[T any, K comparable](base, set []T, id func(T) K) []T {
	next := slices.Clone(base)
	for _, item := range set {
		i := slices.IndexFunc(next, func(other T) bool { return id(other) == id(item) })
		if i < 0 {
			next = append(next, item)
			continue
		}
		next[i] = item
	}
	return next
}

// remove returns the items without those that have the given ids. An id that is
// not present is an error.
func remove[T any, K ~string](items []T, ids []K, id func(T) K, kind string) ([]T, error) {
	for _, k := range ids {
		i := slices.IndexFunc(items, func(item T) bool { return id(item) == k })
		if i < 0 {
			return nil, fault.Invalid("remove "+kind+" "+string(k), "does not exist", "check the id with `rhubarbdrift show`")
		}
		items = slices.Delete(slices.Clone(items), i, i+1)
	}
	return items, nil
}

func (e *Edit) grant(in *model.Intent) error {
	for _, g := range e.GrantKeys {
		c, err := findCustomer(in, g.Customer)
		if err != nil {
			return err
		}
		c.Keys = upsert(c.Keys, []model.Key{g.Key}, keyID)
	}
	return nil
}

func (e *Edit) revoke(in *model.Intent) error {
	for _, k := range e.RevokeKeys {
		c, err := findCustomer(in, k.Customer)
		if err != nil {
			return err
		}
		if c.Keys, err = remove(c.Keys, []model.KeyID{k.Key}, keyID, "key"); err != nil {
			return err
		}
	}
	return nil
}

func findCustomer(in *model.Intent, id model.CustomerID) (*model.Customer, error) {
	i := slices.IndexFunc(in.Customers, func(c model.Customer) bool { return c.ID == id })
	if i < 0 {
		return nil, fault.Invalid("customer "+string(id), "does not exist", "create the customer first")
	}
	return &in.Customers[i], nil
}

func (e *Edit) removeItems(in *model.Intent) error {
	var err error
	if in.Customers, err = remove(in.Customers, e.Remove.Customers, customerID, "customer"); err != nil {
		return err
	}
	if in.Routes, err = remove(in.Routes, e.Remove.Routes, routeID, "route"); err != nil {
		return err
	}
	if in.Pools, err = remove(in.Pools, e.Remove.Pools, poolID, "pool"); err != nil {
		return err
	}
	in.Evacuated, err = remove(in.Evacuated, e.Remove.Evacuated, domainID, "evacuated failure domain")
	return err
}

func (e *Edit) removeTargets(in *model.Intent) error {
	for _, id := range e.Remove.Targets {
		i := slices.IndexFunc(in.Pools, func(p model.Pool) bool {
			return slices.ContainsFunc(p.Targets, func(t model.Target) bool { return t.ID == id })
		})
		if i < 0 {
			return fault.Invalid("remove target "+string(id), "does not exist", "check the id with `rhubarbdrift show`")
		}
		remaining, err := remove(in.Pools[i].Targets, []model.TargetID{id}, targetID, "target")
		if err != nil {
			return err
		}
		in.Pools[i].Targets = remaining
	}
	return nil
}

func sortItems(in *model.Intent) {
	slices.SortFunc(in.Customers, func(a, b model.Customer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(in.Routes, func(a, b model.Route) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(in.Pools, func(a, b model.Pool) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(in.Evacuated)
}
