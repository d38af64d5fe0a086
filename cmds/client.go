package cmds

import (
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/admin"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/strict"
)

const (
	// credentialVariable is the environment variable with the operator's
	// credential. A flag would show the credential to other users of the host.
	credentialVariable = "RHUBARBDRIFT_CREDENTIAL"
	// adminTimeout bounds one call of the administration API.
	adminTimeout = 15 * time.Second
	// maxAnswerBytes is the largest answer of a daemon that is read.
	maxAnswerBytes = 256 << 20
	// defaultAdmin is the address of the administration API in the sample settings.
	defaultAdmin = "127.0.0.1:8082"
)

// adminFlag adds the flag --admin, the address of a daemon's administration API.
func adminFlag(c *cobra.Command) *string {
	return c.Flags().String("admin", defaultAdmin, "address of a daemon's administration API, IP address and port")
}

// callAdmin calls the administration API of a daemon and decodes its response. The
// error has kind fault.KindUnknown if there was no response, and the kind that the
// daemon reported if it refused the call.
func callAdmin[A any](address, method, path string, body []byte) (*A, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+os.Getenv(credentialVariable))
	req.SetBody(body)
	if err := sendCall(req, resp); err != nil {
		return nil, fault.Wrap(fault.KindUnknown, err, "the administration API at "+address+" gave no answer",
			"check the address with --admin; run the command again, which is harmless")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, responseError(resp.Body())
	}
	answer := new(A)
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return nil, fault.Wrap(fault.KindInvalid, err, "the administration API's answer cannot be decoded", "use the same version of the program and the daemons")
	}
	return answer, nil
}

// sendCall sends a call to a daemon once and reads its answer. The client must not retry on its
// own: a confirmation may have been committed although its response was lost.
func sendCall(req *fasthttp.Request, resp *fasthttp.Response) error {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxAnswerBytes, Transport: strict.Transport{}}
	return client.DoTimeout(req, resp, adminTimeout)
}

// responseError decodes the response to a call that the daemon refused. It returns
// an error of the kind that the daemon reported.
func responseError(body []byte) error {
	p := new(admin.ErrorResponse)
	if err := json.Unmarshal(body, p); err != nil {
		return fault.Wrap(fault.KindInvalid, err, "the administration API's error cannot be decoded", "use the same version of the program and the daemons")
	}
	if p.Kind == fault.KindDenied {
		return fault.New(p.Kind, "the operator credential was refused", "set "+credentialVariable+" to a credential whose digest is in the daemon's settings")
	}
	return fault.New(p.Kind, "the daemon refused: "+p.Message, p.Remedy)
}
