// Package loopip gives tests loopback addresses that no other process takes.
//
// A port that a test chooses by opening and closing a listener may be taken
// before it is used. An IP of the test's own with ports below the range of
// outgoing connections cannot.
//
// # Usage
//
//	ip, release, err := loopip.Own()
//	defer release()
//	address := net.JoinHostPort(ip, strconv.Itoa(loopip.FirstPort))
package loopip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// FirstPort is the first port to use. It lies below the range that the system
// gives to outgoing connections.
const FirstPort = 7001

// tries is the number of random IPs that are tried.
const tries = 100

// Own returns a loopback IP and keeps a listener on it until release, so that
// other callers, also in other processes, get another one.
func Own() (ip string, release func(), err error) {
	for range tries {
		ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		var ln net.Listener
		ln, err = net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(FirstPort-1)))
		if err == nil {
			return ip, func() { _ = ln.Close() }, nil
		}
	}
	return "", nil, fmt.Errorf("no free loopback IP in %d tries: %w", tries, err)
}
