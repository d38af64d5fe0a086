// Command review-3 runs one script case of review/: it starts entry hosts as processes, with
// stand-ins of the platform's store, of instances and of clients, and judges what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 100 * time.Second

// verdict is the exit code of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2 // the case couldn't run
)

// setup is what each case gets.
type setup struct {
	dir, program string
	trouble      bool
	record       *Record

	mu     sync.Mutex
	silent map[string]bool // servers that do not write their entries
}

var cases = map[string]func(*setup) (verdict, error){}

func main() {
	name := flag.String("case", "", "case to run")
	dir := flag.String("dir", "", "temporary folder")
	program := flag.String("program", "", "program of the deploy file")
	out := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	run := cases[*name]
	if run == nil || *dir == "" || *program == "" {
		fmt.Fprintln(os.Stderr, "unknown case, or no folder or program")
		os.Exit(int(failed))
	}
	s := &setup{dir: *dir, program: *program, trouble: *trouble, record: NewRecord(), silent: make(map[string]bool)}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		closeAll()
		os.Exit(int(failed))
	}()
	time.AfterFunc(limit, func() {
		fmt.Println("the case took too long")
		closeAll()
		os.Exit(int(failed))
	})
	v, err := run(s)
	closeAll()
	if err != nil {
		s.record.Add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		v = failed
	}
	if *out != "" {
		if err := s.record.Write(*out); err != nil {
			fmt.Fprintln(os.Stderr, err)
			v = failed
		}
	}
	fmt.Println(map[verdict]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[v])
	os.Exit(int(v))
}

var fleets []*Fleet

// fleet prepares a fleet that is closed at the end.
func (s *setup) fleet(zones ...string) (*Fleet, error) {
	f, err := NewFleet(s.dir, s.program, s.record, zones...)
	if err == nil {
		fleets = append(fleets, f)
	}
	return f, err
}

func closeAll() {
	for _, f := range fleets {
		f.Close()
	}
}
