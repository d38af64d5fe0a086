// Command standins plays the surroundings of entry hosts for one case: the platform, the
// store, instances and clients. It is started by the run.sh of the case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		stopAll()
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
}

// record collects the lines of record.txt.
type record struct{ lines []string }

func (r *record) printf(format string, values ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, values...))
}

// addAll adds everything that was sent, answered and run, with times since the start.
func (r *record) addAll(l *requestLog, ran *runs, start time.Time) {
	for _, q := range l.all() {
		status := strconv.Itoa(q.status)
		if q.status == 0 {
			status = "none (" + q.detail + ")"
		}
		r.printf("sent %s at %.3f s to %s, key %s, %d bytes, kept connection %t; answer at %.3f s: %s", q.id, q.sentAt.Sub(start).Seconds(), q.host, q.key, q.bodyBytes, q.reused, q.ended.Sub(start).Seconds(), status)
	}
	for _, x := range ran.all() {
		r.printf("run %s at %.3f s by %s for tenant %s, %d bytes", x.id, x.at.Sub(start).Seconds(), x.instance, x.tenant, x.bytes)
	}
}

func (r *record) write(path string) {
	check(os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644))
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	run, ok := map[string]func(trouble bool, out *record) (held bool){"bodies": bodies, "bigconfig": bigconfig, "exempt": exempt}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	out := new(record)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		check(fmt.Errorf("interrupted"))
	}()
	out.printf("case %s, disruption %t", os.Args[1], trouble)
	held := run(trouble, out)
	stopAll()
	out.lines = append([]string{fmt.Sprintf("rule held: %t", held)}, out.lines...)
	out.write(os.Args[2])
	for _, line := range out.lines[:min(len(out.lines), 8)] {
		fmt.Println(line)
	}
	if !held {
		os.Exit(1)
	}
}
