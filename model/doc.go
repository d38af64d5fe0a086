// Package model defines the domain types that the other packages share:
// identifiers and units, the operators' intent (customers, routes, pools and
// targets), leases, verdicts and quorum sizes.
//
// The types carry the JSON and CBOR tags of their stored and wire formats. Types
// that are received from elsewhere have a Check method. DecodeIntent and
// DecodeLease call it; callers of DecodeStrict call it themselves. An invalid
// field is reported as a fault.Invalid error that names the field, the problem
// and the remedy.
//
// # Usage
//
//	in, err := model.DecodeIntent(data) // JSON with comments
//	if err != nil {
//		return err // contains the line or field, and the remedy
//	}
//	for _, c := range in.Customers {
//		fmt.Println(c.ID, c.Rate, c.Burst)
//	}
//
// Units are part of the types: Rate is in requests per second, Millis in
// milliseconds, Slots in concurrent requests.
package model
