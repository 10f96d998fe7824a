package jayplatform

import (
	"crypto/subtle"
	"encoding/hex"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaystile/jaystile/internal/connection/jayhttp"
)

// Headers of requests to runners and of their responses.
const (
	attemptHeader = "Jaystile-Attempt"
	jobHeader     = "Jaystile-Job"
	digestHeader  = "Jaystile-Digest"
	notRunHeader  = "Jaystile-Not-Run"
)

// MismatchedAnswerError reports an answer that belongs to another request.
type MismatchedAnswerError struct{ Attempt, Answered string }

// Error implements error.
func (e *MismatchedAnswerError) Error() string {
	return "runner answered attempt " + e.Answered + " on the connection of attempt " + e.Attempt
}

// NotRunError reports a request that the runner has not started and will not start.
type NotRunError struct{ Cause string }

// Error implements error.
func (e *NotRunError) Error() string { return "runner did not start the request: " + e.Cause }

// Runner is a client of one runner.
type Runner struct {
	address string
	http    fasthttp.HostClient
}

// NewRunner returns a client of the runner at the address, which opens at most
// the given number of connections, and a function that closes them.
func NewRunner(address string, connections int) (*Runner, func()) {
	r := &Runner{address: address}
	r.http.Addr = address
	r.http.MaxConns = connections
	r.http.MaxResponseBodySize = maxBodyBytes
	r.http.NoDefaultUserAgentHeader = true
	// The client must not retry by itself, or a job could run twice.
	r.http.MaxIdemponentCallAttempts = 1
	return r, r.http.CloseIdleConnections
}

// Run sends a payload to the runner and returns its answer. The response must echo the
// attempt and digest of the request.
func (r *Runner) Run(attempt, job string, digest, payload []byte, timeout time.Duration) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + r.address + "/v1/run")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(attemptHeader, attempt)
	request.Header.Set(jobHeader, job)
	hexDigest := hex.EncodeToString(digest)
	request.Header.Set(digestHeader, hexDigest)
	request.SetBody(payload)
	if err := r.http.DoTimeout(request, response, timeout); err != nil {
		return nil, classifyError(err)
	}
	if len(response.Header.Peek(notRunHeader)) > 0 {
		// Callers may get this text in a refusal, so it stays as it is.
		return nil, &NotRunError{Cause: "runner said so"}
	}
	if s := response.StatusCode(); s != fasthttp.StatusOK {
		return nil, &jayhttp.RejectedError{Operation: "run", Status: s, Message: string(response.Body())}
	}
	echoed := response.Header.Peek(attemptHeader)
	if string(echoed) != attempt || subtle.ConstantTimeCompare(response.Header.Peek(digestHeader), []byte(hexDigest)) != 1 {
		return nil, &MismatchedAnswerError{Attempt: attempt, Answered: string(echoed)}
	}
	return append([]byte(nil), response.Body()...), nil
}
