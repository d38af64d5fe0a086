package store

import (
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Request is an HTTP request to the platform's API.
type Request struct {
	Method string
	Path   string // after the base URL
	Query  url.Values
	Body   []byte
}

// Page selects a page of a list.
type Page struct {
	After string // last name of the previous page; empty for the first page
	Stale bool   // accept an answer that is some seconds old
}

// Dialect encodes the calls and decodes the answers of one platform's API. The
// client handles connections, time limits and errors.
type Dialect interface {
	Get(kind Kind, name string) Request
	List(kind Kind, page Page) Request
	// Put writes an object if its version is match; 0 means that it must not exist.
	// Of the versions, only the revisions are sent.
	Put(kind Kind, name string, value []byte, match Version) Request
	Delete(kind Kind, name string, match Version) Request
	// Watch asks for changes after a version and allows the platform to hold the
	// call for up to wait until there is one.
	Watch(kind Kind, after Version, wait time.Duration) Request
	Hosts() Request
	// EraHeader returns the name of the header in which each answer names the store's Era.
	EraHeader() string

	// The methods below decode the body of a successful answer. The versions that they return
	// are revisions: the client adds the era.

	Object(kind Kind, body []byte) (Object, error)
	Listing(kind Kind, body []byte) (Listing, error)
	Changes(kind Kind, body []byte) (Changes, error)
	// Written returns the version of a write. The version of a deletion is not used,
	// so it may be 0.
	Written(body []byte) (Version, error)
	HostList(body []byte) ([]Host, error)
}

// HeaderEra is the header with the Era in the answers of package objapi.
const HeaderEra = "Store-Era"

// objapiDialect is the dialect of package objapi.
type objapiDialect struct{}

var _ Dialect = objapiDialect{}

func (objapiDialect) Get(kind Kind, name string) Request {
	return Request{Method: fasthttp.MethodGet, Path: objectPath(kind), Query: url.Values{"name": {name}}}
}

func (objapiDialect) List(kind Kind, p Page) Request {
	r := Request{Method: fasthttp.MethodGet, Path: objectPath(kind)}
	if p.After != "" {
		r.Query = url.Values{"after": {p.After}}
	}
	return r
}

func (objapiDialect) Put(kind Kind, name string, value []byte, match Version) Request {
	return Request{Method: fasthttp.MethodPut, Path: objectPath(kind), Query: writeQuery(name, match), Body: value}
}

func (objapiDialect) Delete(kind Kind, name string, match Version) Request {
	return Request{Method: fasthttp.MethodDelete, Path: objectPath(kind), Query: writeQuery(name, match)}
}

func (objapiDialect) Watch(kind Kind, after Version, _ time.Duration) Request {
	query := url.Values{"after": {strconv.FormatUint(after.Revision(), 10)}}
	return Request{Method: fasthttp.MethodGet, Path: "/watch/" + string(kind), Query: query}
}

func (objapiDialect) Hosts() Request { return Request{Method: fasthttp.MethodGet, Path: "/hosts"} }

func (objapiDialect) EraHeader() string { return HeaderEra }

func (objapiDialect) Object(_ Kind, body []byte) (Object, error) { return decode[Object](body) }

func (objapiDialect) Listing(kind Kind, body []byte) (Listing, error) {
	members, err := Members(body)
	if err != nil {
		return Listing{}, err
	}
	objects, errObjects := ReadItems(kind, members["objects"], decodeObject)
	version, errVersion := Field[Version](members, "version")
	more, errMore := Field[bool](members, "more")
	return Listing{Objects: objects, Version: version, More: more}, errors.Join(errObjects, errVersion, errMore)
}

func (objapiDialect) Changes(kind Kind, body []byte) (Changes, error) {
	members, err := Members(body)
	if err != nil {
		return Changes{}, err
	}
	events, errEvents := ReadEvents(kind, members["events"], func(item []byte) (Object, bool, error) {
		fields, err := Members(item)
		if err != nil {
			return Object{}, false, err
		}
		removed, errRemoved := Field[bool](fields, "deleted")
		o, errObject := decodeObject(fields["object"])
		return o, removed, errors.Join(errRemoved, errObject)
	})
	version, errVersion := Field[Version](members, "version")
	return Changes{Events: events, Version: version}, errors.Join(errEvents, errVersion)
}

// decodeObject decodes an object of a list. With an error it returns at least the name, if
// that can be read.
func decodeObject(item []byte) (Object, error) {
	fields, err := Members(item)
	if err != nil {
		return Object{}, err
	}
	name, errName := Field[string](fields, "name")
	o, err := decode[Object](item)
	if err != nil {
		return Object{Name: name}, errors.Join(err, errName)
	}
	return o, nil
}

func (objapiDialect) HostList(body []byte) ([]Host, error) {
	items, err := Elements(body)
	if err != nil {
		return nil, err
	}
	hosts := make([]Host, 0, len(items))
	for _, item := range items {
		// An entry that cannot be read names no host to use; the others hold.
		if h, err := decode[Host](item); err == nil && h.Check() == nil {
			hosts = append(hosts, h)
		}
	}
	return hosts, nil
}

func (objapiDialect) Written(body []byte) (Version, error) {
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
	return url.Values{"name": {name}, "match": {strconv.FormatUint(match.Revision(), 10)}}
}
