// Command standins2 holds the stand-ins of the second review's scripts: a store, instances and
// clients. Each script is one of its verbs. It starts the project's program as processes of
// its own, writes record.txt, and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// programPath is the project's program, as deploy/system.toml builds it.
var programPath string

// trouble is false if the script runs without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// record is the file to which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// cases are the verbs. Each returns whether the rule was broken, or an error if it couldn't run.
var cases = map[string]func(dir string, r *record) (broken bool, err error){
	"left":    runLeft,
	"headers": runHeaders,
	"odd":     runOdd,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(run func(string, *record) (bool, error), program, recordPath string) int {
	var err error
	if programPath, err = filepath.Abs(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	r := &record{out: out, began: time.Now()}
	broken, err := run(dir, r)
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		r.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
