package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
)

// Client calls the operators' API of one VM.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client for the VM at address that authenticates with an
// operator's keys.
func NewClient(address string, ring *certifier.Keyring) *Client {
	transport := &http.Transport{TLSClientConfig: ring.ClientConfig(certifier.RoleVM, "", protocol)}
	return &Client{address: address, http: &http.Client{Transport: transport, Timeout: requestTimeout + time.Second}}
}

// Submit sends a change. With wait, the VM answers only when all live VMs have
// the change in force, or after a timeout.
func (c *Client) Submit(ctx context.Context, change configurer.Change, wait bool) (Submission, error) {
	query := url.Values{}
	if wait {
		query.Set("Wait", "true")
	}
	var out Submission
	err := c.call(ctx, http.MethodPost, "/Changes?"+query.Encode(), change, &out)
	return out, err
}

// Configuration returns the document in force on the VM.
func (c *Client) Configuration(ctx context.Context) (configurer.Document, error) {
	var out configurer.Document
	err := c.call(ctx, http.MethodGet, "/Configuration", nil, &out)
	return out, err
}

// Statuses returns the status of all VMs of the deployment.
func (c *Client) Statuses(ctx context.Context) ([]Status, error) {
	var out []Status
	err := c.call(ctx, http.MethodGet, "/Status", nil, &out)
	return out, err
}

// Explain returns the log lines of a request from all VMs that answer.
func (c *Client) Explain(ctx context.Context, r identifier.Request) ([]json.RawMessage, error) {
	var out []json.RawMessage
	err := c.call(ctx, http.MethodGet, "/Requests/"+url.PathEscape(string(r)), nil, &out)
	return out, err
}

// Drain starts the graceful shutdown of the VM.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/Drain", nil, &struct{}{})
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode the request body")
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, "https://"+c.address+path, body)
	if err != nil {
		return errors.Wrapf(err, "build a request for the address %q", c.address)
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "no VM answers there; check --address and the VM's settings under Operators")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		var p Problem
		if json.NewDecoder(answer.Body).Decode(&p) != nil || p.Message == "" {
			return errors.Errorf("the VM answered with status %d", answer.StatusCode)
		}
		return errors.New(p.Message)
	}
	return errors.Wrap(json.NewDecoder(answer.Body).Decode(out), "read the VM's answer")
}
