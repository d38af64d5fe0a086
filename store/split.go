package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// MaxName is the maximum length of an object's name in bytes. Objects with longer names
// are not read.
const MaxName = 1 << 10

// errSyntax is returned for text that is not JSON.
var errSyntax = errors.New("the JSON text is malformed")

// Members splits a JSON object into its members. Unlike encoding/json it does not look
// into the values, so one that is nested too deeply does not keep the others from being
// read. It returns an error if two names are equal or differ in case only, which decoders
// resolve differently.
func Members(data []byte) (map[string]json.RawMessage, error) {
	members := make(map[string]json.RawMessage)
	seen := make(map[string]bool)
	err := split(data, '{', func(key, value []byte) error {
		var name string
		if err := json.Unmarshal(key, &name); err != nil {
			return err
		}
		folded := strings.ToLower(name)
		if seen[folded] {
			return fmt.Errorf("the field %.40q occurs twice", name)
		}
		seen[folded] = true
		members[name] = value
		return nil
	})
	return members, err
}

// Elements splits a JSON array into its elements, without looking into them as Members
// does. It returns none for null and for an absent value.
func Elements(data []byte) ([]json.RawMessage, error) {
	if text := bytes.TrimSpace(data); len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	var list []json.RawMessage
	err := split(data, '[', func(_, value []byte) error {
		list = append(list, value)
		return nil
	})
	return list, err
}

// split calls add for each member of an object ('{') or element of an array ('['). The
// key is that of a member, with its quotes.
func split(data []byte, open byte, add func(key, value []byte) error) error {
	s := splitter{data: data}
	if !s.skip(open) {
		return errSyntax
	}
	if s.skip(open + 2) { // the closing bracket in ASCII
		return s.end()
	}
	for {
		var key []byte
		if open == '{' {
			if key = s.value(); len(key) == 0 || key[0] != '"' || !s.skip(':') {
				return errSyntax
			}
		}
		value := s.value()
		if len(value) == 0 {
			return errSyntax
		}
		if err := add(key, value); err != nil {
			return err
		}
		if s.skip(open + 2) {
			return s.end()
		}
		if !s.skip(',') {
			return errSyntax
		}
	}
}

// splitter is a position in a JSON text.
type splitter struct {
	data []byte
	at   int
}

func (s *splitter) skipSpace() {
	for s.at < len(s.data) && bytes.IndexByte([]byte(" \t\r\n"), s.data[s.at]) >= 0 {
		s.at++
	}
}

// skip skips white space and the byte b, and reports whether b was there.
func (s *splitter) skip(b byte) bool {
	s.skipSpace()
	if s.at < len(s.data) && s.data[s.at] == b {
		s.at++
		return true
	}
	return false
}

// end returns an error if anything but white space follows.
func (s *splitter) end() error {
	s.skipSpace()
	if s.at < len(s.data) {
		return errSyntax
	}
	return nil
}

// value returns the next value, or nothing if there is none. It counts brackets and does
// not check what is between them.
func (s *splitter) value() []byte {
	s.skipSpace()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case '"':
			if !s.skipString() {
				return nil
			}
			if depth == 0 {
				return s.data[start:s.at]
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.data[start:s.at]
			}
			if depth--; depth == 0 {
				s.at++
				return s.data[start:s.at]
			}
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.data[start:s.at]
			}
		}
		s.at++
	}
	return nil
}

// skipString skips a string and reports whether it ends.
func (s *splitter) skipString() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}

// Unreadable returns an object that cannot be read. Err says why. The name is empty if it
// is unknown too, and may be longer than MaxName.
func Unreadable(kind Kind, name string, err error) Object {
	return Object{Kind: kind, Name: name, Problem: err.Error()}
}

// checkName returns an error for a name that no object can have.
func checkName(name string) error {
	if name == "" || len(name) > MaxName {
		return fmt.Errorf("the name %.40q has %d bytes, but needs 1 to %d", name, len(name), MaxName)
	}
	return nil
}

// ReadItems decodes each element of a list of objects with decode, which also returns the
// name of an object that it cannot read, if it knows it. Such an object is in the result
// with its Problem, so that it does not keep the others from being read.
func ReadItems(kind Kind, list json.RawMessage, decode func(item []byte) (Object, error)) ([]Object, error) {
	items, err := Elements(list)
	if err != nil {
		return nil, err
	}
	objects := make([]Object, 0, len(items))
	for _, item := range items {
		objects = append(objects, readItem(kind, item, decode))
	}
	return objects, nil
}

// readItem decodes one object for ReadItems.
func readItem(kind Kind, item []byte, decode func(item []byte) (Object, error)) Object {
	o, err := decode(item)
	if err = errors.Join(err, checkName(o.Name), checkRevision(o.Version)); err != nil {
		return Unreadable(kind, o.Name, err)
	}
	return o
}

// ReadEvents is ReadItems for a list of changes. Decode also returns whether the change is a
// removal.
func ReadEvents(kind Kind, list json.RawMessage, decode func(item []byte) (o Object, removed bool, err error)) ([]Event, error) {
	items, err := Elements(list)
	if err != nil {
		return nil, err
	}
	events := make([]Event, 0, len(items))
	for _, item := range items {
		removed := false
		o := readItem(kind, item, func(item []byte) (o Object, err error) {
			o, removed, err = decode(item)
			return o, err
		})
		events = append(events, Event{Object: o, Deleted: removed})
	}
	return events, nil
}

// Field decodes a member of an object, or returns the zero value if it is absent.
func Field[T any](members map[string]json.RawMessage, name string) (value T, err error) {
	data, ok := members[name]
	if !ok {
		return value, nil
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("the field %s: %w", name, err)
	}
	return value, nil
}
