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

// startCommand runs a command until the end of the test and returns the first
// address that it logs.
func startCommand(t *testing.T, c *cobra.Command, args ...string) string {
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	c.SetOut(w)
	c.SetArgs(args)
	done := make(chan error, 1)
	go func() { done <- c.ExecuteContext(ctx); _ = w.Close() }()
	var log bytes.Buffer
	buffer := make([]byte, 4096)
	address := regexp.MustCompile(`address=(\S+)`)
	for !address.Match(log.Bytes()) {
		n, err := r.Read(buffer)
		must.NoError(t, err)
		log.Write(buffer[:n])
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	t.Cleanup(func() {
		cancel()
		test.NoError(t, <-done)
	})
	return address.FindStringSubmatch(log.String())[1]
}

// execute runs a command to completion and returns its standard output.
func execute(t *testing.T, c *cobra.Command, args ...string) (string, error) {
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(io.Discard)
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

// executions returns the requests that a stand-in target has executed.
func executions(t *testing.T, target string) []origin.Execution {
	resp, err := http.Get("http://" + target + "/control/executions")
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var list origin.Executions
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&list))
	return list.Entries
}

// TestStandins runs load through a relay to a target, all from the command line,
// and compares the load report with the executions that the target recorded.
func TestStandins(t *testing.T) {
	target := startCommand(t, newTarget(), "--name", "t1", "--faults", `{"fail":1,"paths":["/bad"]}`)
	relayAddress := startCommand(t, newRelay(), "--target", target, "--control", "127.0.0.1:0", "--grace", "0s")
	trace := filepath.Join(t.TempDir(), "trace")
	plan := filepath.Join(t.TempDir(), "plan.json")
	must.NoError(t, os.WriteFile(plan, []byte(`{"count": 5, /* each */ "customers":[{"id":"north","rate":500,"path":"/bad"}]}`), 0o600))
	out, err := execute(t, newLoad(), "--plan", plan, "--json", "--trace", trace, "--entry", relayAddress, "--time", "1s",
		"--customer", `{"id":"south","rate":500,"method":"POST","path":"/orders","size":70000}`)
	must.NoError(t, err)
	var report load.Report
	must.NoError(t, json.Unmarshal([]byte(out), &report))
	must.Len(t, 2, report.Customers)
	test.Eq(t, 5, report.Customers[0].Failed)
	test.Eq(t, 5, report.Customers[1].Whole)
	traceLines, err := os.ReadFile(trace)
	must.NoError(t, err)
	test.Eq(t, 10, bytes.Count(traceLines, []byte("\n")))

	test.Len(t, 5, executions(t, target))
	http.DefaultClient.CloseIdleConnections()
}

// TestTermination guards against a graceful shutdown that interrupts a running
// request, also when SIGTERM arrives twice.
func TestTermination(t *testing.T) {
	signals := make(chan os.Signal, 2) // keeps a late second signal from ending the test process
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	target := startCommand(t, newTarget(), "--work", "300ms")
	bodyLength := make(chan int)
	go func() {
		resp, err := http.Get("http://" + target + "/certificate?size=5000")
		if err != nil {
			bodyLength <- -1
			return
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		bodyLength <- len(data)
	}()
	for len(executions(t, target)) == 0 {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	test.Eq(t, 5000, <-bodyLength)
	http.DefaultClient.CloseIdleConnections()
}

// TestMistakes guards against a command that starts with invalid flags, documents
// or addresses instead of returning an error with a remedy.
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
