package watch

import "rhubarbdrift.example/store"

const (
	// maxOdd bounds the entries whose problems are remembered.
	maxOdd = 1000
	// loggedName is the length to which the name of an entry is cut in the log.
	loggedName = 80
)

// oddEntries remembers the entries that cannot be read, so that each is logged and counted
// once for each problem. Other programs write to the lists, and some rewrite their entry
// every second. It is not safe for concurrent use.
type oddEntries struct {
	options
	problems map[string]string // by name
}

// add records the problem of an entry, which is left out.
func (e *oddEntries) add(kind store.Kind, o *store.Object, problem string) {
	if e.problems[o.Name] == problem {
		return
	}
	if e.problems == nil || len(e.problems) >= maxOdd {
		e.problems = make(map[string]string)
	}
	e.problems[o.Name] = problem
	e.oddCount.Inc(1)
	e.log.Warn().Str("kind", string(kind)).Str("entry", o.Name[:min(len(o.Name), loggedName)]).Uint64("revision", o.Version.Revision()).
		Str("problem", problem).Msg("odd entry left out")
}

// remove forgets an entry that can be read again or was removed.
func (e *oddEntries) remove(name string) { delete(e.problems, name) }
