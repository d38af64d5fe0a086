// Package relay is a TCP relay that simulates a faulty network link between two
// hosts, for tests and demonstrations. Each direction can be cut, frozen or
// delayed while connections are open.
//
// # Usage
//
//	link := relay.New("127.0.0.1:9001")
//	go link.Serve(ln)
//	defer link.Stop(ctx)
//	...
//	link.SetState(relay.LinkState{Down: relay.Direction{Cut: true}}) // responses are lost
//
// Handler serves the state of the link over HTTP:
//
//	GET  /       the current state of the link
//	PUT  /       replaces it, e.g. {"up":{"delay":12},"down":{"cut":true}}
//	GET  /stats  connections and relayed bytes
//
// A cut direction discards data. A TCP stream cannot continue after a gap, so a
// connection that lost data delivers nothing more in this direction, and neither
// end gets an error; connections opened after the cut ended work. This simulates
// connections that stay open across a network partition. A frozen direction
// buffers data and delivers it when the freeze ends, like a partition that ends
// before TCP gives up retransmitting. A delay applies to each chunk of data from
// its arrival. The operating system of the relay completes the TCP handshake, so
// a cut does not prevent a caller from connecting.
package relay
