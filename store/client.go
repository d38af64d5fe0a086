package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/strict"
)

// Defaults of Client.
const (
	defaultTimeout      = time.Second
	defaultDialTimeout  = 500 * time.Millisecond
	defaultWatchTimeout = 30 * time.Second
	// defaultMaxAnswer is the largest answer in bytes.
	defaultMaxAnswer = 32 << 20
)

// maxListAnswers bounds what is kept of a list of several pages, and maxListRead what is read,
// in answers of the largest size.
const (
	maxListAnswers = 4
	maxListRead    = 128
)

// keepAlive detects a dead connection within seconds. Otherwise a watch on it
// would wait until its time limit.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// errNotConnected marks a call that was not sent, as no connection could be
// opened or its context had ended. Such a call certainly had no effect.
var errNotConnected = errors.New("no connection")

// errTooLarge marks an answer, or a list of several pages, that exceeds the limit.
var errTooLarge = errors.New("the answer is too large")

// Client is a Store that calls the platform over HTTP, by default in the dialect
// of package objapi. It is safe for concurrent use.
type Client struct {
	base         string
	dialect      Dialect
	timeout      time.Duration
	watchTimeout time.Duration
	watchWait    time.Duration
	maxAnswer    int
	maxValue     int
	eras         eraTracker
	http         *fasthttp.HostClient
}

// ClientOption sets an option of NewClient.
type ClientOption func(*Client)

// WithTimeout sets the time limit of each call other than a watch. The default
// is 1 s.
func WithTimeout(d time.Duration) ClientOption { return func(c *Client) { c.timeout = d } }

// WithWatchTimeout sets the time limit of a watch. It must be longer than the
// time for which the platform holds a watch without changes. The default is 30 s.
func WithWatchTimeout(d time.Duration) ClientOption { return func(c *Client) { c.watchTimeout = d } }

// WithDialect sets the form of the calls and answers. The default is that of
// package objapi.
func WithDialect(d Dialect) ClientOption { return func(c *Client) { c.dialect = d } }

// WithMaxWatchWait sets how long a watch asks the platform to wait for a change, if
// the dialect can express it. The default is 30 s.
func WithMaxWatchWait(d time.Duration) ClientOption { return func(c *Client) { c.watchWait = d } }

// WithMaxAnswer sets the size in bytes above which an answer is not read, so that a
// platform that is broken, or another server at its address, can't take the process over its
// memory. The default is 32 MiB.
func WithMaxAnswer(n int) ClientOption { return func(c *Client) { c.maxAnswer = n } }

// WithMaxValue sets the size in bytes above which the value of an object in a list or a watch is
// dropped. The object then has a Problem, and does not count toward the largest list: any program
// may write objects, and those that are too large to be of use must not hide the others. The
// default is MaxValue.
func WithMaxValue(n int) ClientOption { return func(c *Client) { c.maxValue = n } }

// WithEraObserver sets a function that is called when an answer shows that the store came back
// from an older copy. It must return quickly.
func WithEraObserver(f func(before, after Era)) ClientOption {
	return func(c *Client) { c.eras.onChange = f }
}

// NewClient returns a client of the platform at a base URL such as
// "http://10.0.0.1:7000".
func NewClient(base string, options ...ClientOption) *Client {
	c := &Client{base: base, dialect: objapiDialect{}, timeout: defaultTimeout, watchTimeout: defaultWatchTimeout, watchWait: defaultWatchTimeout, maxAnswer: defaultMaxAnswer, maxValue: MaxValue}
	c.eras.onChange = func(_, _ Era) {}
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
		Transport:   strict.Transport{},
		// Without a limit, memory is allocated for any length that an answer announces.
		MaxResponseBodySize: c.maxAnswer,
		// Each call is sent once. If a write took effect but its answer was lost,
		// a repetition would fail with a conflict, as if the write had failed.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > defaultDialTimeout {
		timeout = defaultDialTimeout
	}
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotConnected, err)
	}
	return conn, nil
}

// response is the result of one exchange: a status and a body, or an error if no
// answer arrived.
type response struct {
	status   int
	era      Era
	outdated bool // another answer has named a later era
	body     []byte
	err      error
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	r := c.roundTrip(ctx, c.dialect.Get(kind, name), c.timeout)
	return decodeRead(r, kind, name, func(b []byte) (Object, error) {
		o, err := c.dialect.Object(kind, b)
		err = errors.Join(err, checkRevision(o.Version))
		o.Version = o.Version.in(r.era)
		return o, err
	})
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind) ([]Object, Version, error) {
	return c.listAll(ctx, kind, Page{})
}

// ListStale is like List, but the answer may be some seconds old. This costs the
// platform less.
func (c *Client) ListStale(ctx context.Context, kind Kind) ([]Object, Version, error) {
	return c.listAll(ctx, kind, Page{Stale: true})
}

// ListPage implements Store.
func (c *Client) ListPage(ctx context.Context, kind Kind, after string) (Listing, error) {
	l, _, err := c.readPage(ctx, kind, Page{After: after})
	return l, err
}

// pageSize is the size of one page of a list in bytes.
type pageSize struct {
	read int // size of the answer
	kept int // without the values that were dropped
}

// readPage reads one page of a list.
func (c *Client) readPage(ctx context.Context, kind Kind, page Page) (Listing, pageSize, error) {
	r := c.roundTrip(ctx, c.dialect.List(kind, page), c.timeout)
	r.outdated = r.outdated && !page.Stale
	size := pageSize{len(r.body), len(r.body)}
	l, err := decodeRead(r, kind, "", func(b []byte) (Listing, error) {
		l, err := c.dialect.Listing(kind, b)
		if err = errors.Join(err, checkRevision(l.Version)); err != nil {
			return l, err
		}
		l.Version = l.Version.in(r.era)
		for i := range l.Objects {
			l.Objects[i].Version = l.Objects[i].Version.in(r.era)
			size.kept -= c.limitValue(&l.Objects[i])
		}
		return l, nil
	})
	return l, size, err
}

// limitValue drops the value of an object that is too large and returns its size, or 0. Other
// values are copied, since they would keep the whole answer in memory.
func (c *Client) limitValue(o *Object) (dropped int) {
	if dropped = len(o.Value); dropped <= c.maxValue {
		o.Value = bytes.Clone(o.Value)
		return 0
	}
	o.Value, o.Problem = nil, fmt.Sprintf("its value has %d bytes, more than %d", dropped, c.maxValue)
	return dropped
}

// listAll reads all pages of a list. It returns the version of the first page,
// so that a watch from there also reports changes made while the other pages
// were read.
func (c *Client) listAll(ctx context.Context, kind Kind, page Page) ([]Object, Version, error) {
	var objects []Object
	var version Version
	for size := (pageSize{}); ; {
		l, n, err := c.readPage(ctx, kind, page)
		if err != nil {
			return nil, 0, err
		}
		size.read, size.kept = size.read+n.read, size.kept+n.kept
		if size.kept > maxListAnswers*c.maxAnswer || size.read > maxListRead*c.maxAnswer {
			return nil, 0, ErrUnavailable(fmt.Sprintf("the list of %s: %v", kind, errTooLarge))
		}
		if page.After == "" {
			version = l.Version
		}
		if l.Version.Era() != version.Era() {
			return nil, 0, ErrUnavailable(fmt.Sprintf("the list of %s: %v while it was read", kind, ErrRestored))
		}
		objects = append(objects, l.Objects...)
		if !l.More || len(l.Objects) == 0 {
			return objects, version, nil
		}
		if page.After, err = l.Next(page.After); err != nil {
			return nil, 0, err
		}
	}
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, kind Kind, name string, value []byte, match Version) (Version, error) {
	if match != 0 && c.eras.outdates(match) {
		return 0, ErrConflict(kind, name)
	}
	return c.decodeWrite(c.roundTrip(ctx, c.dialect.Put(kind, name, value, match), c.timeout), kind, name, match)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, match Version) error {
	if match != 0 && c.eras.outdates(match) {
		return ErrConflict(kind, name)
	}
	_, err := c.decodeWrite(c.roundTrip(ctx, c.dialect.Delete(kind, name, match), c.timeout), kind, name, match)
	return err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) ([]Event, Version, error) {
	return c.readChanges(ctx, kind, after, c.watchWait, c.watchTimeout)
}

// Poll is like Watch, but returns the changes made so far without waiting for
// more.
func (c *Client) Poll(ctx context.Context, kind Kind, after Version) ([]Event, Version, error) {
	return c.readChanges(ctx, kind, after, time.Millisecond, c.timeout)
}

// readChanges reads the changes after a version and lets the platform wait up to
// maxWait for the first one. The call fails after timeout. Changes that are too large for
// one answer are as good as discarded: the objects can be listed, in pages.
func (c *Client) readChanges(ctx context.Context, kind Kind, after Version, maxWait, timeout time.Duration) ([]Event, Version, error) {
	if c.eras.outdates(after) {
		return nil, 0, errRestored()
	}
	r := c.roundTrip(ctx, c.dialect.Watch(kind, after, maxWait), timeout)
	switch {
	case errors.Is(r.err, errTooLarge):
		return nil, 0, ErrCompacted()
	case r.err == nil && r.era > after.Era() && (r.status == fasthttp.StatusOK || r.status == fasthttp.StatusGone):
		// Without this check, changes between the copy and a revision that was given out again
		// would be missing.
		return nil, 0, errRestored()
	}
	w, err := decodeRead(r, kind, "", func(b []byte) (Changes, error) {
		w, err := c.dialect.Changes(kind, b)
		if err = errors.Join(err, checkRevision(w.Version)); err != nil {
			return w, err
		}
		w.Version = w.Version.in(r.era)
		for i := range w.Events {
			w.Events[i].Object.Version = w.Events[i].Object.Version.in(r.era)
			c.limitValue(&w.Events[i].Object)
		}
		return w, nil
	})
	return w.Events, w.Version, err
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	return decodeRead(c.roundTrip(ctx, c.dialect.Hosts(), c.timeout), "", "", c.dialect.HostList)
}

// roundTrip runs one exchange. If ctx ends first, roundTrip returns its error and
// the exchange continues in the background until its deadline.
func (c *Client) roundTrip(ctx context.Context, call Request, timeout time.Duration) response {
	if err := ctx.Err(); err != nil {
		return response{err: fmt.Errorf("%w: %w", errNotConnected, err)}
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan response, 1)
	go func() { done <- c.exchange(call, deadline) }()
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return response{err: ctx.Err()}
	}
}

// exchange sends a call and waits for the answer until the deadline.
func (c *Client) exchange(call Request, deadline time.Time) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(c.base + call.Path + "?" + call.Query.Encode())
	if len(call.Body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(call.Body)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			err = errTooLarge
		}
		return response{err: err}
	}
	era, err := parseEra(resp.Header.Peek(c.dialect.EraHeader()))
	if err != nil {
		return response{err: err}
	}
	outdated := !c.eras.observe(era)
	return response{status: resp.StatusCode(), era: era, outdated: outdated, body: append([]byte(nil), resp.Body()...)}
}

// decodeRead decodes the answer to a read. Without a usable answer the error has
// the kind fault.KindUnavailable.
func decodeRead[T any](r response, kind Kind, name string, decode func([]byte) (T, error)) (T, error) {
	if r.outdated {
		var zero T
		return zero, ErrUnavailable("the answer is from before " + ErrRestored.Error())
	}
	return decodeResponse(r, kind, name, decode, ErrUnavailable)
}

// decodeWrite decodes the answer to a write. Without a usable answer the error
// has the kind fault.KindUnknown. Only a call that was not sent, or that the platform
// refused, certainly had no effect. One that took effect in a later era than that of its
// condition may have replaced another object than the caller read.
func (c *Client) decodeWrite(r response, kind Kind, name string, match Version) (Version, error) {
	if errors.Is(r.err, errNotConnected) || errors.Is(r.err, fasthttp.ErrNoFreeConns) {
		return 0, ErrUnavailable(r.err.Error())
	}
	return decodeResponse(r, kind, name, func(b []byte) (Version, error) {
		if r.outdated || match != 0 && r.era != match.Era() {
			return 0, ErrRestored
		}
		version, err := c.dialect.Written(b)
		return version.in(r.era), errors.Join(err, checkRevision(version))
	}, ErrUnknown)
}

// decodeResponse decodes an answer. If there is none or it is not usable, it returns
// lossError with the cause.
func decodeResponse[T any](r response, kind Kind, name string, decode func([]byte) (T, error), lossError func(string) error) (T, error) {
	var zero T
	if r.err != nil {
		return zero, lossError(r.err.Error())
	}
	if err := statusError(r.status, kind, name, lossError); err != nil {
		return zero, err
	}
	v, err := decode(r.body)
	if err != nil {
		return zero, lossError("the answer is broken: " + err.Error())
	}
	return v, nil
}

// statusError maps the HTTP status of an answer to an error. A status outside the
// protocol may come from an intermediary after the platform has executed a
// write, so it is treated as a lost answer.
func statusError(status int, kind Kind, name string, lossError func(string) error) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
		return nil
	case fasthttp.StatusNotFound:
		return ErrMissing(kind, name)
	case fasthttp.StatusConflict:
		return ErrConflict(kind, name)
	case fasthttp.StatusGone:
		return ErrCompacted()
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return ErrUnavailable("status " + strconv.Itoa(status))
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge:
		return fault.New(fault.KindInvalid, fmt.Sprintf("the platform refused the call with status %d", status), "check the kind, the name, the version and the size of the value")
	default:
		return lossError(fmt.Sprintf("status %d", status))
	}
}
