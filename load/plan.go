package load

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/origin"
)

// Limits and defaults of a plan.
const (
	// DefaultTimeout is the default time limit of a request, from its planned
	// start.
	DefaultTimeout model.Millis = 10_000
	// DefaultMaxInFlight is the default limit of concurrent requests.
	DefaultMaxInFlight = 4096
	// MaxDuration is the longest duration of a run.
	MaxDuration model.Millis = 3_600_000
	// MaxTotalRequests is the largest number of requests that the rates of all customers
	// may add up to over the duration of a plan, whatever Plan.Count is.
	MaxTotalRequests = 5_000_000
)

// Customer is the load of one customer.
type Customer struct {
	ID           model.CustomerID `json:"id"`
	Key          string           `json:"key,omitempty"`    // sent as X-Api-Key
	Rate         model.Rate       `json:"rate"`             // requests per second
	Path         string           `json:"path,omitempty"`   // default: /
	Method       string           `json:"method,omitempty"` // default: GET
	Host         string           `json:"host,omitempty"`   // default: the entry's address
	ResponseSize int              `json:"size,omitempty"`   // response body in bytes
	RequestSize  int              `json:"body,omitempty"`   // request body in bytes; GET, HEAD and OPTIONS have none
}

// Plan describes a run.
type Plan struct {
	Entries     []string     `json:"entries"` // IP addresses and ports, used round-robin
	Customers   []Customer   `json:"customers"`
	Duration    model.Millis `json:"time"`              // duration of the run
	Count       int          `json:"count,omitempty"`   // largest number of requests per customer; 0: limited only by Duration
	Timeout     model.Millis `json:"timeout,omitempty"` // default: DefaultTimeout
	MaxInFlight int          `json:"flight,omitempty"`  // limit of concurrent requests, default: DefaultMaxInFlight; further ones are skipped
	IDPrefix    string       `json:"name,omitempty"`    // prefix of request ids; default: the start time

	// Observe is called after each request, concurrently from several
	// goroutines. It may be nil.
	Observe func(Answer) `json:"-"`
}

// Check returns an error of kind fault.KindInvalid for the first invalid field.
func (p *Plan) Check() error {
	if len(p.Entries) == 0 || len(p.Customers) == 0 {
		return fault.Invalid("plan", "has no entries or no customers", "name at least one of each")
	}
	for _, e := range p.Entries {
		if err := checkEntry(e); err != nil {
			return err
		}
	}
	if p.Duration <= 0 || p.Duration > MaxDuration {
		return fault.Invalid("time", "must be above 0", fmt.Sprintf("give at most %d ms", MaxDuration))
	}
	if p.Count < 0 || p.Timeout < 0 || p.MaxInFlight < 0 {
		return fault.Invalid("count, timeout or flight", "must not be negative", "remove the field for the default")
	}
	total := 0.0
	for i := range p.Customers {
		c := &p.Customers[i]
		if err := c.check(); err != nil {
			return err
		}
		total += float64(c.Rate) * p.Duration.Duration().Seconds()
	}
	if total > MaxTotalRequests {
		return fault.Invalid("plan", fmt.Sprintf("asks for %.0f requests", total), fmt.Sprintf("lower rates or time to at most %d", MaxTotalRequests))
	}
	return nil
}

// checkEntry returns an error unless entry is an IPv4 loopback address with a
// port, so that the tool cannot put load on other machines.
func checkEntry(entry string) error {
	a, err := netip.ParseAddrPort(entry)
	if err != nil || !a.Addr().Is4() || !a.Addr().IsLoopback() {
		return fault.Invalid("entry "+entry, "is not an address in 127.0.0.0/8 with a port",
			"the load tool is for stand-ins on this machine; give an address such as 127.0.0.1:8080")
	}
	return nil
}

// check returns an error of kind fault.KindInvalid for the first invalid field.
func (c *Customer) check() error {
	name := "customer " + string(c.ID)
	switch {
	case c.ID == "":
		return fault.Invalid("customer id", "is empty", "give each customer an id")
	case c.Rate <= 0:
		return fault.Invalid(name+": rate", "must be above 0 requests/s", "set a rate")
	case c.Path != "" && !strings.HasPrefix(c.Path, "/"):
		return fault.Invalid(name+": path", "must start with /", "write it as /orders")
	case c.ResponseSize < 0 || c.ResponseSize > origin.MaxSize || c.RequestSize < 0 || c.RequestSize > origin.MaxSize:
		return fault.Invalid(name+": size or body", "is out of range", fmt.Sprintf("give at most %d bytes", origin.MaxSize))
	}
	return nil
}

// method returns the HTTP method in upper case, GET by default.
func (c *Customer) method() string {
	if c.Method == "" {
		return http.MethodGet
	}
	return strings.ToUpper(c.Method)
}

// safeMethod reports whether the method is safe in the sense of HTTP, so that
// requests need no idempotency key.
func (c *Customer) safeMethod() bool {
	switch c.method() {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// uri returns the path and query, with the parameter size that sets the
// response size of the stand-in target.
func (c *Customer) uri() string {
	path := c.Path
	if path == "" {
		path = "/"
	}
	separator := "?"
	if strings.Contains(path, "?") {
		separator = "&"
	}
	return fmt.Sprintf("%s%ssize=%d", path, separator, c.ResponseSize)
}

// timeout returns the time limit of a request, or the default.
func (p *Plan) timeout() time.Duration {
	if p.Timeout == 0 {
		return DefaultTimeout.Duration()
	}
	return p.Timeout.Duration()
}

// maxInFlight returns the limit of concurrent requests, or the default.
func (p *Plan) maxInFlight() int {
	if p.MaxInFlight == 0 {
		return DefaultMaxInFlight
	}
	return p.MaxInFlight
}
