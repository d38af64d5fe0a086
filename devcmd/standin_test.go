package devcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/spf13/cobra"

	"rhubarbdrift.example/load"
	"rhubarbdrift.example/origin"
)

// begin runs a command until the end of the test and returns its address.
func begin(t *testing.T, c *cobra.Command, args ...string) string {
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	c.SetOut(w)
	c.SetArgs(args)
	done := make(chan error, 1)
	go func() { done <- c.ExecuteContext(ctx); _ = w.Close() }()
	var log bytes.Buffer
	buf := make([]byte, 4096)
	address := regexp.MustCompile(`address=(\S+)`)
	for !address.Match(log.Bytes()) {
		n, err := r.Read(buf)
		must.NoError(t, err)
		log.Write(buf[:n])
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	t.Cleanup(func() {
		cancel()
		test.NoError(t, <-done)
	})
	return address.FindStringSubmatch(log.String())[1]
}

func execute(t *testing.T, c *cobra.Command, args ...string) (string, error) {
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(io.Discard)
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

func executions(t *testing.T, target string) []origin.Execution {
	resp, err := http.Get("http://" + target + "/control/executions")
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var list origin.Executions
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&list))
	return list.Entries
}

// TestStandins guards against stand-ins that do not work together from the
// command line: load through a relay, with the target's count of executions.
func TestStandins(t *testing.T) {
	target := begin(t, newTarget(), "--name", "t1", "--faults", `{"fail":1,"paths":["/bad"]}`)
	link := begin(t, newRelay(), "--target", target, "--control", "127.0.0.1:0", "--grace", "0s")
	trace := filepath.Join(t.TempDir(), "trace")
	plan := filepath.Join(t.TempDir(), "plan.json")
	must.NoError(t, os.WriteFile(plan, []byte(`{"count": 5, /* each */ "customers":[{"id":"north","rate":500,"path":"/bad"}]}`), 0o600))
	out, err := execute(t, newLoad(), "--plan", plan, "--json", "--trace", trace, "--entry", link, "--time", "1s",
		"--customer", `{"id":"south","rate":500,"method":"POST","path":"/orders","size":70000}`)
	must.NoError(t, err)
	var report load.Report
	must.NoError(t, json.Unmarshal([]byte(out), &report))
	must.Len(t, 2, report.Customers)
	test.Eq(t, 5, report.Customers[0].Failed)
	test.Eq(t, 5, report.Customers[1].Whole)
	lines, err := os.ReadFile(trace)
	must.NoError(t, err)
	test.Eq(t, 10, bytes.Count(lines, []byte("\n")))

	test.Len(t, 5, executions(t, target))
	http.DefaultClient.CloseIdleConnections()
}

// TestTermination guards against a planned stop that cuts off a running
// request, also when the signal arrives twice.
func TestTermination(t *testing.T) {
	absorb := make(chan os.Signal, 2) // a late second signal must not end the test process
	signal.Notify(absorb, syscall.SIGTERM)
	defer signal.Stop(absorb)
	target := begin(t, newTarget(), "--work", "300ms")
	body := make(chan int)
	go func() {
		resp, err := http.Get("http://" + target + "/certificate?size=5000")
		if err != nil {
			body <- -1
			return
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		body <- len(data)
	}()
	for len(executions(t, target)) == 0 {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	test.Eq(t, 5000, <-body)
	http.DefaultClient.CloseIdleConnections()
}

// TestMistakes guards against a command that starts with settings it did not understand.
func TestMistakes(t *testing.T) {
	for _, r := range []struct {
		c    *cobra.Command
		args string
	}{
		{newTarget(), `--faults {"fial":1}`},
		{newTarget(), `--faults {"fail":2}`},
		{newTarget(), `--listen 127.0.0.1:99999`},
		{newRelay(), `--target nowhere`},
		{newRelay(), `--target 127.0.0.1:1 --links {"up":{"delay":-1}}`},
		{newLoad(), `--entry 10.0.0.1:80 --time 1s --customer {"id":"a","rate":1}`},
		{newLoad(), `--plan missing.json`},
	} {
		_, err := execute(t, r.c, strings.Fields(r.args)...)
		test.ErrorContains(t, err, "remedy", test.Sprint(r.args))
	}
}
