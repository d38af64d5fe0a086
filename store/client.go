package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
)

// Defaults of Client.
const (
	defaultTimeout      = time.Second
	defaultDialTimeout  = 500 * time.Millisecond
	defaultWatchTimeout = 30 * time.Second
)

// errDial marks a connection that could not be opened, so that a call
// certainly had no effect.
var errDial = errors.New("no connection")

// Client is a Store that calls the platform over HTTP. The protocol is
// described in package plat.
type Client struct {
	base    string
	timeout time.Duration
	watch   time.Duration
	http    *fasthttp.HostClient
}

// ClientOption sets an option of NewClient.
type ClientOption func(*Client)

// WithTimeout sets the time limit of a call. The default is 1 s.
func WithTimeout(d time.Duration) ClientOption { return func(c *Client) { c.timeout = d } }

// WithWatchTimeout sets the time limit of a watch, which must be longer than
// the platform lets a watch wait. The default is 30 s.
func WithWatchTimeout(d time.Duration) ClientOption { return func(c *Client) { c.watch = d } }

// NewClient returns a client of the platform at a base URL such as
// "http://10.0.0.1:7000".
func NewClient(base string, options ...ClientOption) *Client {
	c := &Client{base: base, timeout: defaultTimeout, watch: defaultWatchTimeout}
	for _, o := range options {
		o(c)
	}
	address := base
	if u, err := url.Parse(base); err == nil && u.Host != "" {
		address = u.Host
	}
	c.http = &fasthttp.HostClient{
		Addr:        address,
		DialTimeout: dial,
		// Each call is sent once: a repeated write would hide that the first
		// one took effect behind a conflict.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func dial(address string, limit time.Duration) (net.Conn, error) {
	if limit <= 0 || limit > defaultDialTimeout {
		limit = defaultDialTimeout
	}
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return conn, nil
}

// call is one exchange with the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	limit  time.Duration
}

type reply struct {
	status int
	body   []byte
	err    error
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var o Object
	r := c.do(ctx, call{method: fasthttp.MethodGet, path: objectPath(kind), query: url.Values{"name": {name}}, limit: c.timeout})
	return o, r.read(kind, name, &o)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind) ([]Object, Version, error) {
	var l Listing
	r := c.do(ctx, call{method: fasthttp.MethodGet, path: objectPath(kind), limit: c.timeout})
	err := r.read(kind, "", &l)
	return l.Objects, l.Version, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, kind Kind, name string, value []byte, match Version) (Version, error) {
	var a Answer
	r := c.do(ctx, call{method: fasthttp.MethodPut, path: objectPath(kind), query: writeQuery(name, match), body: value, limit: c.timeout})
	return a.Version, r.write(kind, name, &a)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, match Version) error {
	var a Answer
	r := c.do(ctx, call{method: fasthttp.MethodDelete, path: objectPath(kind), query: writeQuery(name, match), limit: c.timeout})
	return r.write(kind, name, &a)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) ([]Event, Version, error) {
	var w Changes
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	r := c.do(ctx, call{method: fasthttp.MethodGet, path: "/watch/" + string(kind), query: query, limit: c.watch})
	err := r.read(kind, "", &w)
	return w.Events, w.Version, err
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	r := c.do(ctx, call{method: fasthttp.MethodGet, path: "/hosts", limit: c.timeout})
	return hosts, r.read("", "", &hosts)
}

func objectPath(kind Kind) string { return "/objects/" + string(kind) }

func writeQuery(name string, match Version) url.Values {
	return url.Values{"name": {name}, "match": {strconv.FormatUint(uint64(match), 10)}}
}

// do runs one exchange. If ctx ends first, the exchange is abandoned and ends
// at its own time limit.
func (c *Client) do(ctx context.Context, p call) reply {
	if err := ctx.Err(); err != nil {
		return reply{err: fmt.Errorf("%w: %w", errDial, err)}
	}
	deadline := time.Now().Add(p.limit)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan reply, 1)
	go func() { done <- c.exchange(p, deadline) }()
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return reply{err: ctx.Err()}
	}
}

func (c *Client) exchange(p call, deadline time.Time) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(p.method)
	req.SetRequestURI(c.base + p.path + "?" + p.query.Encode())
	req.SetBodyRaw(p.body)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

// read decodes the answer to a read. Without an answer the platform is unavailable.
func (r reply) read(kind Kind, name string, into any) error {
	return r.decode(kind, name, into, ErrUnavailable)
}

// write decodes the answer to a write. Only a connection that could not be
// opened, or a refusal by the platform, is certainly without an effect.
func (r reply) write(kind Kind, name string, into *Answer) error {
	if errors.Is(r.err, errDial) || errors.Is(r.err, fasthttp.ErrNoFreeConns) {
		return ErrUnavailable(r.err.Error())
	}
	return r.decode(kind, name, into, ErrUnknown)
}

func (r reply) decode(kind Kind, name string, into any, lost func(string) error) error {
	if r.err != nil {
		return lost(r.err.Error())
	}
	if err := statusError(r.status, kind, name, lost); err != nil {
		return err
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return lost("the answer is broken: " + err.Error())
	}
	return nil
}

// statusError maps the status of an answer to an error. A status that is not
// part of the protocol may come from something between, after the platform
// has executed the write.
func statusError(status int, kind Kind, name string, lost func(string) error) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return ErrMissing(kind, name)
	case fasthttp.StatusConflict:
		return ErrConflict(kind, name)
	case fasthttp.StatusGone:
		return ErrCompacted()
	case fasthttp.StatusServiceUnavailable:
		return ErrUnavailable("status 503")
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge:
		return fault.New(fault.KindInvalid, fmt.Sprintf("the platform refused the call with status %d", status), "check the kind, the name, the version and the size of the value")
	default:
		return lost(fmt.Sprintf("status %d", status))
	}
}
