package cmds

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/loopip"
	"rhubarbdrift.example/model"
)

const (
	scriptKey  = "a-callers-key"
	credential = "an-operators-credential"
	// waitTimeout bounds the wait for a condition.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rhubarbdrift": func() { os.Exit(Execute()) },
	})
}

// TestScripts runs the scripts in testdata against the program. They guard
// against faults that only the whole program shows: in commands, exit codes, plan
// and confirm, keys, and the planned stop.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"get":    get,
			"await":  await,
			"expand": expand,
			"send":   send,
			"until":  until,
		},
	})
}

// setup sets the environment of a script: free addresses, and the keys and their
// digests. The addresses use a loopback IP that is reserved for the script, so
// that no other process takes them.
func setup(e *testscript.Env) error {
	ip, release, err := loopip.Reserve()
	if err != nil {
		return err
	}
	e.Defer(release)
	for i, name := range []string{
		"PLATFORM", "TARGET", "CALLERS", "PEERS", "ADMIN",
		"CALLERS2", "PEERS2", "ADMIN2", "CALLERS3", "PEERS3", "ADMIN3", "LINK", "SWITCH",
	} {
		e.Setenv(name, net.JoinHostPort(ip, strconv.Itoa(loopip.FirstPort+i)))
	}
	e.Setenv("KEY", scriptKey)
	e.Setenv("DIGEST", string(model.DigestOf([]byte(scriptKey))))
	e.Setenv("OPERATOR", string(model.DigestOf([]byte(credential))))
	e.Setenv(credentialVariable, credential)
	return nil
}

// expand replaces environment variables in files: expand FILE...
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, f := range args {
		text := os.Expand(ts.ReadFile(f), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(f), []byte(text), 0o600))
	}
}

// request sends a GET with an optional key and returns the status and, for a
// refusal, its kind and body. Without a response it returns 0 and the error.
func request(url, key string) (int, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	if err := fasthttp.DoTimeout(req, resp, waitTimeout); err != nil {
		return 0, err.Error()
	}
	refusal := string(resp.Header.Peek("Rhubarbdrift-Kind"))
	if refusal != "" {
		refusal += " " + string(resp.Body())
	}
	return resp.StatusCode(), refusal
}

// matches reports whether a response, as request returns it, has the wanted status
// and, if one is given, the wanted kind of refusal.
func matches(status int, refusal string, want []string) bool {
	got, _, _ := strings.Cut(refusal, " ")
	return fmt.Sprint(status) == want[0] && (len(want) < 2 || got == want[1])
}

// send sends a PUT or POST with a body and optional headers: send METHOD URL BODY STATUS [HEADER VALUE]...
func send(ts *testscript.TestScript, _ bool, args []string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(args[1])
	req.Header.SetMethod(args[0])
	req.SetBodyString(args[2])
	for i := 4; i+1 < len(args); i += 2 {
		req.Header.Set(args[i], args[i+1])
	}
	ts.Check(fasthttp.DoTimeout(req, resp, waitTimeout))
	if fmt.Sprint(resp.StatusCode()) != args[3] {
		ts.Fatalf("got status %d, want %s: %s", resp.StatusCode(), args[3], resp.Body())
	}
}

// until runs a program repeatedly until it succeeds and its output matches:
// until REGEXP PROGRAM ARGS...
func until(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	deadline := time.Now().Add(waitTimeout)
	for {
		err := ts.Exec(args[1], args[2:]...)
		if err == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no output matches %s after %s: %s", args[0], waitTimeout, ts.ReadFile("stdout"))
		}
		time.Sleep(pollInterval)
	}
}

// get sends a request once: get URL KEY STATUS [KIND].
func get(ts *testscript.TestScript, _ bool, args []string) {
	status, refusal := request(args[0], args[1])
	if !matches(status, refusal, args[2:]) {
		ts.Fatalf("got status %d kind %q, want %s", status, refusal, strings.Join(args[2:], " "))
	}
}

// await sends a request repeatedly until the response matches:
// await URL KEY STATUS [KIND].
func await(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(waitTimeout)
	for {
		status, refusal := request(args[0], args[1])
		if matches(status, refusal, args[2:]) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("still status %d kind %q after %s, want %s", status, refusal, waitTimeout, strings.Join(args[2:], " "))
		}
		time.Sleep(pollInterval)
	}
}
