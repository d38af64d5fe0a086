package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/entry"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
	"rhubarbdrift.example/proxy"
)

func newExplain() *cobra.Command {
	c := &cobra.Command{
		Use:   "explain",
		Short: "Tell where an entry host would send a request now, and why",
		Long: `explain asks a running entry host where it would send a request now, without
sending it: the route, the customer and its limit, and each target of the pool with
its state and cost. The caller's key is read from the environment variable
` + credentialVariable + ` or from --key-file, which
takes precedence; only its digest is sent. Without
a key the request has none. --json prints the host's answer.`,
		Args: cobra.NoArgs,
	}
	var address, target, keyFile string
	var q proxy.Query
	var asJSON bool
	flags := c.Flags()
	flags.StringVar(&address, "host", "", "readiness address of the entry host, IP address and port (required)")
	flags.StringVar(&q.Method, "method", "GET", "method of the request")
	flags.StringVar(&target, "url", "", "host and path of the request (required)")
	flags.StringVar(&keyFile, "key-file", "", "file with the caller's key")
	flags.Int64Var(&q.Bytes, "bytes", 0, "size of the request's body")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var err error
		if q.Host, q.Path, err = splitURL(target); err != nil {
			return err
		}
		if q.Digest, err = keyDigest(keyFile); err != nil {
			return err
		}
		e, err := callExplain(address, &q)
		if err != nil {
			return err
		}
		if asJSON {
			return json.NewEncoder(c.OutOrStdout()).Encode(e)
		}
		return printExplanation(c.OutOrStdout(), e)
	}
	return c
}

// splitURL returns the host and the path of a URL, whose scheme may be missing.
func splitURL(target string) (host, path string, err error) {
	if !strings.Contains(target, "://") {
		target = "http://" + target
	}
	u, err := url.Parse(target)
	if err != nil || u.Host == "" || u.User != nil {
		return "", "", fault.New(usageKind, "--url is not a host and path", "use a URL such as api.example/orders, without credentials")
	}
	return u.Host, u.RequestURI(), nil
}

// keyDigest returns the digest of the caller's key, or "" without one.
func keyDigest(keyFile string) (model.Digest, error) {
	key := os.Getenv(credentialVariable)
	if keyFile != "" {
		data, err := readFile(keyFile)
		if err != nil {
			return "", err
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return "", nil
	}
	return model.DigestOf([]byte(key)), nil
}

// callExplain asks the host at a readiness address.
func callExplain(address string, q *proxy.Query) (*proxy.Explanation, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, fault.Wrap(usageKind, err, "--host is not an address", "use an IP address and port")
	}
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + entry.ExplainPath)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if err := sendCall(req, resp); err != nil {
		return nil, fault.Wrap(fault.KindUnavailable, err, "the host at "+address+" gave no answer", "check the readiness address with --host")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		kind := fault.KindInvalid
		if resp.StatusCode() == fasthttp.StatusServiceUnavailable {
			kind = fault.KindUnavailable
		}
		return nil, fault.New(kind, fmt.Sprintf("the host answered %d: %s", resp.StatusCode(), strings.TrimSpace(string(resp.Body()))), "run the command again; a host explains one request at a time, and hosts of other versions may not know the path")
	}
	e := new(proxy.Explanation)
	if err := json.Unmarshal(resp.Body(), e); err != nil {
		return nil, fault.Wrap(fault.KindInvalid, err, "the host's answer cannot be decoded", "use the same version of the program and the host")
	}
	return e, nil
}

func printExplanation(out io.Writer, e *proxy.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	row("configuration\tversion %d, %d ms old, keys accepted: %t\n", e.Version, e.AgeMs, e.KeysAccepted)
	if r := e.Refused; r != nil {
		row("not in force\tversion %d: %s\n", r.Version, r.Problem)
	}
	row("route\t%s\n", orNone(string(e.Route)))
	row("customer\t%s\nrank\t%d\nregions\t%s\n", orNone(string(e.Customer)), e.Rank, regionsText(e.Regions))
	if l := e.Limit; l != nil {
		row("limit\t%s: rate %g/s, burst %g, holds %.1f of %.1f\n", l.Kind, l.Rate, l.Burst, l.Held, l.Capacity)
		row("admitted\twith probability %.2f%s\n", l.Admits, retryText(l.RetryAfterMs))
	}
	if e.Refusal != nil {
		row("refused\t%s\n", refusalText(e.Refusal))
	}
	for i := range e.Pools {
		printPool(row, &e.Pools[i])
	}
	return w.Flush()
}

func printPool(row func(string, ...any), p *proxy.PoolExplanation) {
	row("\npool\t%s", p.Pool)
	if p.Weight > 0 {
		row(", weight %v", p.Weight)
	}
	row(", urgent: %t\n", p.Urgent)
	switch h := p.Hedge; {
	case h.Possible:
		row("second send\tafter %d ms\n", h.AfterMs)
	case h.AfterMs > 0:
		row("second send\tnot after %d ms: %s\n", h.AfterMs, h.Reason)
	default:
		row("second send\tno: %s\n", h.Reason)
	}
	switch {
	case p.Refusal != nil && p.Possible:
		row("refused\tunless a cold or limited target takes it: %s\n", refusalText(p.Refusal))
	case p.Refusal != nil:
		row("refused\t%s\n", refusalText(p.Refusal))
	}
	row("\ntarget\tstate\tdetail\tdistance\tload\tslots\trisk\tcost ms\twork\tqueue\tfailure\tdistance\n")
	const ms = 1000
	for i := range p.Targets {
		t := &p.Targets[i]
		row("%s\t%s\t%s\t%s\t%.1f\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", t.ID, t.State, targetDetail(t), t.Distance, t.Load, t.Slots, t.Risk, ms*t.Total, ms*t.Cost.Work, ms*t.Cost.Queue, ms*t.Cost.Failure, ms*t.Cost.Distance)
	}
}

// targetDetail returns what belongs to the target's state.
func targetDetail(t *place.TargetExplanation) string {
	switch t.State {
	case place.StateCold:
		return fmt.Sprintf("%d ms left, %.1f/s", t.LeftMs, t.Rate)
	case place.StateLimit:
		return fmt.Sprintf("%.1f/s, admits %.2f", t.Rate, t.Admits)
	case place.StatePaused:
		return fmt.Sprintf("%d ms left", t.LeftMs)
	default:
		return "-"
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func regionsText(list []model.Region) string {
	if list == nil {
		return "all"
	}
	names := make([]string, len(list))
	for i, r := range list {
		names[i] = string(r)
	}
	return orNone(strings.Join(names, ", "))
}

func retryText(ms int64) string {
	if ms == 0 {
		return ""
	}
	return fmt.Sprintf(", Retry-After about %d ms", ms)
}

func refusalText(r *proxy.RefusalReason) string {
	return fmt.Sprintf("%d %s: %s%s", r.Status, r.Kind, r.Message, retryText(r.RetryAfterMs))
}
