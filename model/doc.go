// Package model holds the domain types that the other packages share: named
// identifiers and units, and the operators' intent (customers, routes, pools
// and targets).
//
// Every type carries its JSON and CBOR tags. The decode functions check what
// they decode, so that a value of these types that came from outside is valid:
// a mistake is reported as a fault.Invalid error that names the field, what is
// allowed and the remedy.
//
// # Usage
//
//	in, err := model.DecodeIntent(data) // JSON with comments
//	if err != nil {
//		return err // names the line, the field and the remedy
//	}
//	for _, c := range in.Customers {
//		fmt.Println(c.ID, c.Rate, c.Burst)
//	}
//
// Units are part of the types: Rate is in requests per second, Millis in
// milliseconds, Slots in concurrent requests.
package model
