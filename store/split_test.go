package store

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestOddObjects guards against one object that keeps the others from being read, in the
// product's own dialect.
func TestOddObjects(t *testing.T) {
	const sound = `{"kind":"lease","name":"sound","version":8,"value":"YQ=="}`
	deep := strings.Repeat("[", 12000) + strings.Repeat("]", 12000)
	for name, odd := range map[string]string{
		"nested":         `{"kind":"lease","name":"odd","version":9,"value":"YQ==","x":` + deep + `}`,
		"large version":  `{"kind":"lease","name":"odd","version":184467440737095516160,"value":"YQ=="}`,
		"wrong value":    `{"kind":"lease","name":"odd","version":9,"value":"not base64"}`,
		"wrong type":     `{"kind":"lease","name":"odd","version":9,"value":{}}`,
		"number as name": `{"kind":"lease","name":9,"version":9,"value":"YQ=="}`,
		"field twice":    `{"kind":"lease","name":"odd","version":9,"version":10,"value":"YQ=="}`,
		"huge name":      `{"kind":"lease","name":"` + strings.Repeat("n", 1<<20) + `","version":9,"value":"YQ=="}`,
		"number":         `9`,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := objapiDialect{}.Listing("lease", []byte(`{"objects":[`+odd+`,`+sound+`],"version":12}`))
			must.NoError(t, err)
			c, err := objapiDialect{}.Changes("lease", []byte(`{"events":[{"object":`+odd+`},{"object":`+sound+`,"deleted":true}],"version":12}`))
			must.NoError(t, err)
			test.Eq(t, 12, l.Version)
			test.Eq(t, 12, c.Version)
			must.Len(t, 2, l.Objects)
			must.Len(t, 2, c.Events)
			test.NotEq(t, "", l.Objects[0].Problem)
			test.NotEq(t, "", c.Events[0].Object.Problem)
			test.Eq(t, "sound", l.Objects[1].Name)
			test.Eq(t, []byte("a"), l.Objects[1].Value)
			test.True(t, c.Events[1].Deleted)
		})
	}
	hosts, err := objapiDialect{}.HostList([]byte(`[{"id":7},{"id":"a","address":"10.0.0.1:1"},{"id":"b","address":"10.0.0.1:99999"},{"id":"c"},` + deep + `]`))
	must.NoError(t, err)
	must.Len(t, 2, hosts)
}

// FuzzMembers compares how JSON is split with the library.
func FuzzMembers(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"}\\\""}],"c":null}`))
	f.Add([]byte(`[{"a":1}, "]" ,-1e5,[],{}]`))
	f.Add([]byte(`{"a":{]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		members, err := Members(data)
		elements, errElements := Elements(data)
		if !json.Valid(data) {
			return // what is not JSON may be split in any way; each part is decoded later
		}
		var object map[string]json.RawMessage
		if json.Unmarshal(data, &object) == nil && object != nil && err == nil {
			must.Eq(t, len(object), len(members))
			for name, value := range object {
				must.Eq(t, string(value), string(members[name]))
			}
		}
		var list []json.RawMessage
		if json.Unmarshal(data, &list) == nil {
			must.NoError(t, errElements)
			must.True(t, slices.EqualFunc(list, elements, func(a, b json.RawMessage) bool { return string(a) == string(b) }))
		}
	})
}
