// Package relay is a TCP relay that imitates a faulty link between two hosts
// for tests and demonstrations. Each direction can be cut, frozen or delayed
// while connections are open.
//
// # Usage
//
//	link := relay.New("127.0.0.1:9001")
//	go link.Serve(ln)
//	defer link.Stop(ctx)
//	...
//	link.Set(relay.Links{Down: relay.Link{Cut: true}}) // responses get lost
//
// Handler serves the switches over HTTP:
//
//	GET  /       the current state of the link
//	PUT  /       replaces it, e.g. {"up":{"delay":12},"down":{"cut":true}}
//	GET  /stats  connections and relayed bytes
//
// A cut direction loses bytes. Since a TCP stream cannot continue after lost
// bytes, a connection that lost some stays silent in this direction for good,
// and neither end is told; new connections work after the cut is lifted. This
// is what open connections see that outlive a partition. A frozen direction
// holds bytes back and delivers them when it is thawed, like a partition that
// ends before TCP gives up. A delay applies to each piece of data as it
// arrives. The relay's own kernel completes the handshake, so a cut does not
// stop a caller from connecting.
package relay
