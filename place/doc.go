// Package place chooses the target of each request. It answers the load of
// pools whose targets have few slots, differ in health from second to second,
// and stand in several failure domains and regions.
//
// Each candidate gets an expected cost in seconds: the time that the request
// would take there, the loss if the target fails it, and the bytes that would
// cross between failure domains or regions. A request that may not be repeated
// loses everything by a failure, one that may be repeated only time. So the
// latter also try the targets of which little is known, and the former follow
// where those were answered. A few random candidates are compared, not all, so
// that the daemons do not all choose the same target.
//
// # Usage
//
//	field := place.NewField(place.Site{Region: "north", Domain: "north-a"})
//	field.Update(targets)
//	c, ok := field.Choose(now, place.Need{Pool: id, Work: 0.3, Bytes: 5000}, rand.IntN)
//	c.Begin(now)
//	...
//	c.End(now)
//	c.See(now, grade.Good)
package place
