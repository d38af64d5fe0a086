package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Reply is the end of a request as its client sees it.
type Reply struct {
	Status    int // 0: no complete answer
	Body      []byte
	Signature string
	Header    http.Header
	Err       error
}

// Ask sends one request on a new connection and waits for its answer.
func Ask(address, method, path, id, key string, deadline time.Duration, body []byte) Reply {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(c, head(method, path, id, key, deadline, len(body))+string(body)); err != nil {
		return Reply{Err: err}
	}
	return read(bufio.NewReader(c))
}

// routeHost is the host of the stand-in's routes.
const routeHost = "yard.example"

func head(method, path, id, key string, deadline time.Duration, body int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, routeHost, id, deadline.Milliseconds())
	if key != "" {
		text += "Authorization: Bearer " + key + "\r\n"
	}
	if body > 0 || method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	return text + "\r\n"
}

func read(in *bufio.Reader) Reply {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{Err: err}
	}
	return Reply{Status: resp.StatusCode, Body: body, Signature: resp.Header.Get("X-Response-Signature"), Header: resp.Header}
}

// configuration returns what the operator writes: a route for GET that may be repeated and one for
// POST that may not, and one tenant with the keys.
func configuration(version string, timeoutMs int, rate float64, keys ...string) map[string]any {
	timeout := fmt.Sprintf("%dms", timeoutMs)
	return map[string]any{
		"configVersion": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "service", "maxAttempts", "authExempt", "trafficSplit"},
			"rows": [][]any{
				{"r-look", routeHost, "/look/", "idempotent", timeout, "1000ms", 2, "ledger", 2, false, nil},
				{"r-pay", routeHost, "/pay/", "non_idempotent", timeout, "1000ms", 1, "ledger", 2, false, nil},
			},
		},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConnections", "protocol", "tls"}, "rows": [][]any{{"ledger", "/health", 330, "h1", false}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants": map[string]any{"columns": []string{"name", "apiKeys", "priority", "ratePerS", "burst"}, "rows": [][]any{
			{"depots", keys, 1, rate, rate},
		}},
	}
}
