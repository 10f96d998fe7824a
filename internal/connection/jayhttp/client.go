// Package jayhttp sends JSON requests to the platform's services and limits how long
// the connections of servers may be idle or take for the header of a request.
package jayhttp

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

const contentType = "application/json"

// RejectedError reports a request that the service answered without acting on it.
type RejectedError struct {
	Operation string
	Status    int
	Message   string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s rejected with status %d: %s", e.Operation, e.Status, e.Message)
}

// NoAnswerError reports a request without a usable answer, which may or may not have
// taken effect.
type NoAnswerError struct {
	Operation string
	Cause     string
}

// Error implements error.
func (e *NoAnswerError) Error() string { return e.Operation + ": no answer: " + e.Cause }

// Client sends HTTP requests without retries.
type Client struct{ http fasthttp.Client }

// NewClient returns a client that reads answers of at most the given bytes, and
// a function that closes its connections.
func NewClient(maxAnswerBytes int) (*Client, func()) {
	c := &Client{}
	c.http.MaxResponseBodySize = maxAnswerBytes
	c.http.NoDefaultUserAgentHeader = true
	c.http.MaxIdemponentCallAttempts = 1
	return c, c.http.CloseIdleConnections
}

// Do sends body as JSON, unless it is nil, and decodes the response body into answer,
// unless that is nil. It returns a RejectedError or a NoAnswerError.
func (c *Client) Do(operation, method, url string, body, answer any, timeout time.Duration) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(method)
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return &RejectedError{Operation: operation, Message: err.Error()}
		}
		request.Header.SetContentType(contentType)
		request.SetBody(b)
	}
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return &NoAnswerError{Operation: operation, Cause: err.Error()}
	}
	if s := response.StatusCode(); s < 200 || s > 299 {
		return &RejectedError{Operation: operation, Status: s, Message: string(response.Body())}
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return &NoAnswerError{Operation: operation, Cause: "malformed answer: " + err.Error()}
	}
	return nil
}
