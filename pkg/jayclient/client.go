// Package jayclient is a Go client of jaystile's public HTTP API.
package jayclient

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	defaultTimeout = 10 * time.Second
	maxBodyBytes   = 64 << 20
	contentType    = "application/json"
)

// Client is a client of one deployment's entries. Exported fields must be set
// before the first call.
type Client struct {
	// Addresses are the host:port addresses of entries or their load balancer.
	Addresses []string
	// Workspace and Key are the caller's credential.
	Workspace string
	Key       string
	// OperatorKey is required for operator calls.
	OperatorKey string
	// Authority verifies the entries' certificates; nil means plain HTTP.
	Authority *x509.CertPool

	http fasthttp.Client
	next atomic.Uint64
	once sync.Once
}

// New returns a client of the entries at the addresses and a function that
// closes its connections.
func New(addresses ...string) (*Client, func()) {
	c := &Client{Addresses: addresses}
	c.http.MaxResponseBodySize = maxBodyBytes
	c.http.MaxConnsPerHost = 16384
	c.http.NoDefaultUserAgentHeader = true
	// A submission must not be retried without the caller's knowledge.
	c.http.MaxIdemponentCallAttempts = 1
	return c, c.http.CloseIdleConnections
}

// NewKey returns a new idempotency key. It contains its creation time, by which
// entries reject keys older than the key retention.
func NewKey() string { return ulid.Make().String() }

// Submit submits a job. With Wait set it returns when the job has ended. Refusals
// are returned as *jayrefusal.Refusal.
func (c *Client) Submit(ctx context.Context, s jayapi.Submission) (*jayapi.Job, error) {
	var j jayapi.Job
	if err := c.call(ctx, fasthttp.MethodPost, "/v1/jobs", c.Key, s, &j); err != nil {
		return nil, err
	}
	return &j, nil
}

// Job returns a job's status. It waits up to wait for the job to end.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (*jayapi.Job, error) {
	var j jayapi.Job
	path := "/v1/jobs/" + url.PathEscape(id) + "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	if err := c.call(ctx, fasthttp.MethodGet, path, c.Key, nil, &j); err != nil {
		return nil, err
	}
	return &j, nil
}

// Cancel cancels a job and returns its status.
func (c *Client) Cancel(ctx context.Context, id string) (*jayapi.Job, error) {
	var j jayapi.Job
	if err := c.call(ctx, fasthttp.MethodDelete, "/v1/jobs/"+url.PathEscape(id)+"?wait_ms=2000", c.Key, nil, &j); err != nil {
		return nil, err
	}
	return &j, nil
}

// List returns a page of the workspace's jobs.
func (c *Client) List(ctx context.Context, after string, limit int) (*jayapi.JobList, error) {
	var l jayapi.JobList
	q := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	if err := c.call(ctx, fasthttp.MethodGet, "/v1/jobs?"+q.Encode(), c.Key, nil, &l); err != nil {
		return nil, err
	}
	return &l, nil
}

// Why explains a job's state.
func (c *Client) Why(ctx context.Context, id string) (*jayapi.Why, error) {
	var w jayapi.Why
	if err := c.call(ctx, fasthttp.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/why", c.Key, nil, &w); err != nil {
		return nil, err
	}
	return &w, nil
}

// Status returns the state of the pool as one entry knows it.
func (c *Client) Status(ctx context.Context) (*jayapi.Status, error) {
	var s jayapi.Status
	if err := c.call(ctx, fasthttp.MethodGet, "/v1/operator/status", c.OperatorKey, nil, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Timeline returns the merged events of all processes. Empty filters match all
// events.
func (c *Client) Timeline(ctx context.Context, job, workspace, worker string, limit int) (*jayapi.Timeline, error) {
	var t jayapi.Timeline
	q := url.Values{"job": {job}, "workspace": {workspace}, "worker": {worker}, "most": {strconv.Itoa(limit)}}
	if err := c.call(ctx, fasthttp.MethodGet, "/v1/operator/timeline?"+q.Encode(), c.OperatorKey, nil, &t); err != nil {
		return nil, err
	}
	return &t, nil
}

// Versions returns the manifest in force in every known process.
func (c *Client) Versions(ctx context.Context) (*jayapi.Versions, error) {
	var v jayapi.Versions
	if err := c.call(ctx, fasthttp.MethodGet, "/v1/operator/versions", c.OperatorKey, nil, &v); err != nil {
		return nil, err
	}
	return &v, nil
}

// Manifest returns a version of the manifest, or the one in force for zero.
func (c *Client) Manifest(ctx context.Context, version uint64) (*jayapi.Manifest, error) {
	var m jayapi.Manifest
	if err := c.call(ctx, fasthttp.MethodGet, "/v1/operator/manifest?version="+strconv.FormatUint(version, 10), c.OperatorKey, nil, &m); err != nil {
		return nil, err
	}
	return &m, nil
}

// Manifests returns the versions that an entry keeps, the oldest first.
func (c *Client) Manifests(ctx context.Context) ([]jayapi.Manifest, error) {
	var m []jayapi.Manifest
	err := c.call(ctx, fasthttp.MethodGet, "/v1/operator/manifests", c.OperatorKey, nil, &m)
	return m, err
}

// Publish publishes a manifest. With dryRun it only returns the changes.
func (c *Client) Publish(ctx context.Context, source []byte, dryRun bool) (*jayapi.Published, error) {
	var p jayapi.Published
	path := "/v1/operator/manifest?dry_run=" + strconv.FormatBool(dryRun)
	if err := c.call(ctx, fasthttp.MethodPost, path, c.OperatorKey, json.RawMessage(source), &p); err != nil {
		return nil, err
	}
	return &p, nil
}

// Drain makes an agent (a side, in paths and settings) stop accepting work, or accept
// it again.
func (c *Client) Drain(ctx context.Context, agent string, on bool) error {
	path := "/v1/operator/sides/" + url.PathEscape(agent) + "/drain?on=" + strconv.FormatBool(on)
	return c.call(ctx, fasthttp.MethodPost, path, c.OperatorKey, nil, nil)
}

// call sends one request to the next address in turn. Without a response the
// outcome is unknown, and the caller decides whether to retry.
func (c *Client) call(ctx context.Context, method, path, key string, body, answer any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	address := c.Addresses[int(c.next.Add(1))%len(c.Addresses)]
	request.SetRequestURI(c.scheme() + address + path)
	request.Header.SetMethod(method)
	request.Header.Set(jayapi.WorkspaceHeader, c.Workspace)
	request.Header.Set(jayapi.AuthorizationHeader, jayapi.BearerPrefix+key)
	if body != nil {
		b, err := encode(body)
		if err != nil {
			return err
		}
		request.Header.SetContentType(contentType)
		request.SetBody(b)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return jayrefusal.New(jayrefusal.Internal, jayrefusal.Unknown, "no answer from %s: %v", address, err)
	}
	return decode(response, answer)
}

// scheme returns the URL scheme and sets up TLS before the first request.
func (c *Client) scheme() string {
	if c.Authority == nil {
		return "http://"
	}
	c.once.Do(func() {
		c.http.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: c.Authority}
	})
	return "https://"
}

// encode leaves raw JSON unchanged, because a manifest's digest depends on each
// byte.
func encode(body any) ([]byte, error) {
	if raw, ok := body.(json.RawMessage); ok {
		return raw, nil
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return b, nil
}

func decode(response *fasthttp.Response, answer any) error {
	b := response.Body()
	if response.StatusCode() >= 300 {
		return refusalOf(response.StatusCode(), b)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(b, answer); err != nil {
		return jayrefusal.New(jayrefusal.Internal, jayrefusal.Unknown, "malformed answer: %v", err)
	}
	return nil
}

// refusalOf decodes the error body, which is a refusal or a refused job.
func refusalOf(status int, b []byte) error {
	var r jayapi.Refusal
	if json.Unmarshal(b, &r) == nil && r.Code != "" {
		return r.Refusal()
	}
	var j jayapi.Job
	if json.Unmarshal(b, &j) == nil && j.Refusal != nil {
		return j.Refusal.Refusal()
	}
	return jayrefusal.New(jayrefusal.Internal, jayrefusal.Unknown, "status %d", status)
}
