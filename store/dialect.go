package store

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Call is one call of the platform's API in the form in which it is sent.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte
}

// Page says which part of a list a call asks for.
type Page struct {
	After string // the last name of the page before; empty for the first page
	Stale bool   // an answer that is some seconds old will do
}

// Dialect is the form of the calls and answers of one platform. The client
// keeps connections, time limits and errors; a dialect only translates.
type Dialect interface {
	Get(kind Kind, name string) Call
	List(kind Kind, page Page) Call
	// Put writes an object if its version is match; 0 means that it must not exist.
	Put(kind Kind, name string, value []byte, match Version) Call
	Delete(kind Kind, name string, match Version) Call
	// Watch asks for changes after a version and lets the platform hold the
	// call for the time wait.
	Watch(kind Kind, after Version, wait time.Duration) Call
	Hosts() Call

	Object(kind Kind, body []byte) (Object, error)
	Listing(kind Kind, body []byte) (Listing, error)
	Changes(kind Kind, body []byte) (Changes, error)
	Written(body []byte) (Version, error)
	HostList(body []byte) ([]Host, error)
}

// plain is the dialect of package plat.
type plain struct{}

var _ Dialect = plain{}

func (plain) Get(kind Kind, name string) Call {
	return Call{Method: fasthttp.MethodGet, Path: objectPath(kind), Query: url.Values{"name": {name}}}
}

func (plain) List(kind Kind, _ Page) Call {
	return Call{Method: fasthttp.MethodGet, Path: objectPath(kind)}
}

func (plain) Put(kind Kind, name string, value []byte, match Version) Call {
	return Call{Method: fasthttp.MethodPut, Path: objectPath(kind), Query: writeQuery(name, match), Body: value}
}

func (plain) Delete(kind Kind, name string, match Version) Call {
	return Call{Method: fasthttp.MethodDelete, Path: objectPath(kind), Query: writeQuery(name, match)}
}

func (plain) Watch(kind Kind, after Version, _ time.Duration) Call {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	return Call{Method: fasthttp.MethodGet, Path: "/watch/" + string(kind), Query: query}
}

func (plain) Hosts() Call { return Call{Method: fasthttp.MethodGet, Path: "/hosts"} }

func (plain) Object(_ Kind, body []byte) (Object, error)   { return decode[Object](body) }
func (plain) Listing(_ Kind, body []byte) (Listing, error) { return decode[Listing](body) }
func (plain) Changes(_ Kind, body []byte) (Changes, error) { return decode[Changes](body) }
func (plain) HostList(body []byte) ([]Host, error)         { return decode[[]Host](body) }
func (plain) Written(body []byte) (Version, error) {
	a, err := decode[Answer](body)
	return a.Version, err
}

func decode[T any](body []byte) (T, error) {
	var v T
	err := json.Unmarshal(body, &v)
	return v, err
}

func objectPath(kind Kind) string { return "/objects/" + string(kind) }

func writeQuery(name string, match Version) url.Values {
	return url.Values{"name": {name}, "match": {strconv.FormatUint(uint64(match), 10)}}
}
