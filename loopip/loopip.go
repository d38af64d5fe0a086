// Package loopip reserves loopback IP addresses for tests.
//
// A port that a test picks by opening and closing a listener may be bound by
// another process before the test uses it. This cannot happen with an IP address
// of the test's own and ports below the ephemeral range.
//
// # Usage
//
//	ip, release, err := loopip.Reserve()
//	defer release()
//	address := net.JoinHostPort(ip, strconv.Itoa(loopip.FirstPort))
package loopip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// FirstPort is the first port to use. It lies below the ephemeral range, from
// which the system assigns ports to outgoing connections.
const FirstPort = 7001

// maxAttempts is the number of random IP addresses to try.
const maxAttempts = 100

// Reserve reserves a random loopback IP address until release is called. It keeps a
// listener on port FirstPort-1 of the address, so that concurrent callers, also
// in other processes, get different addresses. It returns an error if no attempt
// succeeds.
func Reserve() (ip string, release func(), err error) {
	for range maxAttempts {
		ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		var ln net.Listener
		ln, err = net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(FirstPort-1)))
		if err == nil {
			return ip, func() { _ = ln.Close() }, nil
		}
	}
	return "", nil, fmt.Errorf("no free loopback IP in %d attempts: %w", maxAttempts, err)
}
