// Package place selects the target of each request. It is made for pools whose
// targets have few concurrent slots, change in health from second to second, and
// are spread over several failure domains and regions.
//
// Each candidate gets an expected cost in seconds: the expected response time,
// the loss if the target fails the request, and the bytes that cross between
// failure domains or regions. A failure costs a request that may not be repeated
// everything, and one that may be repeated only time. So repeatable requests also
// explore targets with few observations, and the others follow where those
// succeeded. Only a few random candidates are compared, so that the daemons don't
// all select the same target.
//
// With WithNearFirst, the candidates are a few targets of the host's own failure domain,
// and others only while these have no room or look unhealthy; see docs/design/near.md.
//
// # Usage
//
//	balancer := place.NewBalancer(place.Location{Region: "north", Domain: "north-a"})
//	balancer.Update(now, targets)
//	t, ok := balancer.Choose(now, place.Request{Pool: id, UsualSeconds: 0.3, Bytes: 5000}, rand.IntN)
//	t.Begin(now)
//	...
//	t.End(now)
//	t.AddObservation(now, health.Good)
package place
