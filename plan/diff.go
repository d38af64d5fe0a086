package plan

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"rhubarbdrift.example/model"
)

// Action is the kind of a change to an item.
type Action string

// The values of Action.
const (
	Add    Action = "add"
	Remove Action = "remove"
	Modify Action = "modify"
)

// Change is one difference between the base configuration and the planned one.
type Change struct {
	Action Action `json:"action"`
	Item   string `json:"item"`            // kind and id
	Field  string `json:"field,omitempty"` // for Modify
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
}

// String returns the change as one line of text for operators.
func (c Change) String() string {
	switch c.Action {
	case Add:
		return "+ " + c.Item + " " + c.To
	case Remove:
		return "- " + c.Item + " " + c.From
	default:
		return fmt.Sprintf("~ %s %s: %s -> %s", c.Item, c.Field, c.From, c.To)
	}
}

// Diff returns the changes that turn one intent into the other, in the order
// customers, keys, routes, pools, targets, evacuated failure domains.
func Diff(from, to *model.Intent) []Change {
	var list []Change
	list = append(list, diffItems("customer", from.Customers, to.Customers, customerID, customerView)...)
	list = append(list, diffItems("key", grantsOf(from), grantsOf(to), grantID, grantView)...)
	list = append(list, diffItems("route", from.Routes, to.Routes, routeID, func(r model.Route) any { return r })...)
	list = append(list, diffItems("pool", from.Pools, to.Pools, poolID, poolView)...)
	list = append(list, diffItems("target", targetsOf(from), targetsOf(to), targetID, func(t model.Target) any { return t })...)
	list = append(list, diffItems("evacuated failure domain", from.Evacuated, to.Evacuated, domainID, func(model.Domain) any { return struct{}{} })...)
	return list
}

func grantsOf(in *model.Intent) []KeyGrant {
	var list []KeyGrant
	for _, c := range in.Customers {
		for _, k := range c.Keys {
			list = append(list, KeyGrant{Customer: c.ID, Key: k})
		}
	}
	return list
}

func targetsOf(in *model.Intent) []model.Target {
	var list []model.Target
	for _, p := range in.Pools {
		list = append(list, p.Targets...)
	}
	return list
}

func grantID(g KeyGrant) string { return string(g.Customer) + "/" + string(g.Key.ID) }

// customerView returns the customer's own fields. Its keys are separate items of Diff.
func customerView(c model.Customer) any {
	c.Keys = nil
	return c
}

// grantView returns the part of a key that may be shown: the first digits of its
// digest, so that a replaced digest appears as a change.
func grantView(g KeyGrant) any {
	return struct {
		Digest string `json:"digest"`
	}{string(g.Key.Digest[:min(8, len(g.Key.Digest))]) + "..."}
}

// poolView returns the pool's own fields. Its targets are separate items of Diff.
func poolView(p model.Pool) any {
	p.Targets = nil
	return p
}

// diffItems returns the changes between two lists of items of a kind. The function id
// identifies an item; view returns the struct whose fields are compared and shown.
func diffItems[T any, K ~string](kind string, from, to []T, id func(T) K, view func(T) any) []Change {
	old := make(map[K]T, len(from))
	for _, item := range from {
		old[id(item)] = item
	}
	var list []Change
	for _, item := range to {
		name := kind + " " + string(id(item))
		before, ok := old[id(item)]
		delete(old, id(item))
		if !ok {
			list = append(list, Change{Action: Add, Item: name, To: render(view(item))})
			continue
		}
		list = append(list, diffFields(name, view(before), view(item))...)
	}
	for _, item := range from {
		if _, removed := old[id(item)]; removed {
			list = append(list, Change{Action: Remove, Item: kind + " " + string(id(item)), From: render(view(item))})
		}
	}
	return list
}

// diffFields returns a change for each field that differs between two structs of the
// same type, under the field's JSON name.
func diffFields(name string, from, to any) []Change {
	var list []Change
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		before, after := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(before, after) {
			continue
		}
		field, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		list = append(list, Change{Action: Modify, Item: name, Field: field, From: render(before), To: render(after)})
	}
	return list
}

// render returns the JSON encoding of a value, or its fmt form if it has none.
func render(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}

// Warnings returns the risks of the new intent that an operator should consider
// before confirming: requests that may run twice, routes that become open to
// callers without a key, pools without targets, and evacuations that leave a pool without
// slots or have no effect.
func Warnings(from, to *model.Intent) []string {
	var list []string
	for _, r := range to.Routes {
		if r.Outage == model.OutageForward {
			list = append(list, fmt.Sprintf("route %s: requests may run twice while the platform is unavailable; remedy: set outage to refuse", r.ID))
		}
		if r.Open && !wasOpen(from, r.ID) {
			list = append(list, fmt.Sprintf("route %s: becomes open to callers without a key; remedy: remove open", r.ID))
		}
	}
	for _, p := range to.Pools {
		if len(p.Targets) == 0 {
			list = append(list, fmt.Sprintf("pool %s: has no target, its routes refuse every request; remedy: add a target", p.ID))
		}
	}
	return append(list, evacuationWarnings(to)...)
}

func wasOpen(in *model.Intent, id model.RouteID) bool {
	return slices.ContainsFunc(in.Routes, func(r model.Route) bool { return r.ID == id && r.Open })
}
