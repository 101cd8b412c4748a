// Package operator provides a client of the operator API, for the command line.
package operator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/merlinpost/merlinpost/internal/adminapi"
	"github.com/merlinpost/merlinpost/internal/adminapi/command"
	"github.com/merlinpost/merlinpost/internal/adminapi/query"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
)

// Client calls the operator API of one router.
type Client struct {
	baseURL    string
	key        string
	httpClient *http.Client
}

// callTimeout is the time limit of a call. It must be longer than the router may take
// to respond to a change.
const callTimeout = 15 * time.Second

// New returns a client of the API at the given IP address and port. key is the
// operator's key.
func New(address, key string) *Client {
	return &Client{baseURL: "http://" + address + "/v1/", key: key, httpClient: &http.Client{}}
}

// send sends a request and returns the response if its status is below 300. The
// caller must close its body. Any other response is returned as an error.
func (c *Client) send(ctx context.Context, method, path string, body any, header http.Header) (*http.Response, error) {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fault.New(fault.Internal, "encode request: %w", err)
		}
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, in)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%w", err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fault.New(fault.LinkLost, "%s %s: %w", method, path, err).WithOutcome(fault.Unknown)
	}
	if resp.StatusCode < 300 {
		return resp, nil
	}
	defer resp.Body.Close()
	var e adminapi.ErrorBody
	if json.NewDecoder(resp.Body).Decode(&e) != nil || e.Code == "" {
		return nil, fault.New(fault.Internal, "%s %s: unexpected response with status %d", method, path, resp.StatusCode)
	}
	message := e.Message
	if e.Operation != "" {
		message += fmt.Sprintf(" (operation %s)", e.Operation)
	}
	return nil, &fault.Error{Code: e.Code, Outcome: e.Outcome, Field: e.Field, Message: message}
}

// call sends a request and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, method, path string, body, out any, header http.Header) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, body, header)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fault.New(fault.Internal, "%s %s: decode response: %w", method, path, err)
	}
	return nil
}

func resourcePath(kind, name string) string { return url.PathEscape(kind) + "/" + url.PathEscape(name) }

// List returns the resources of a kind.
func (c *Client) List(ctx context.Context, kind string) (out []query.Resource, err error) {
	return out, c.call(ctx, http.MethodGet, url.PathEscape(kind), nil, &out, nil)
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, kind, name string) (out query.Resource, err error) {
	return out, c.call(ctx, http.MethodGet, resourcePath(kind, name), nil, &out, nil)
}

// History returns the retained versions of a resource, newest last.
func (c *Client) History(ctx context.Context, kind, name string) (out []resource.Version, err error) {
	return out, c.call(ctx, http.MethodGet, resourcePath(kind, name)+"/history", nil, &out, nil)
}

// Delete deletes a resource.
func (c *Client) Delete(ctx context.Context, kind, name string) (out command.Accepted, err error) {
	return out, c.call(ctx, http.MethodDelete, resourcePath(kind, name), nil, &out, nil)
}

// Withdraw restores a resource to its spec at the revision to or, if to is empty, to
// the version before the latest.
func (c *Client) Withdraw(ctx context.Context, kind, name, to string) (out command.Accepted, err error) {
	path := resourcePath(kind, name) + "/withdraw"
	if to != "" {
		path += "?to=" + url.QueryEscape(to)
	}
	return out, c.call(ctx, http.MethodPost, path, nil, &out, nil)
}

// Change submits a change set. If operation is empty the router generates the
// operation's ID.
func (c *Client) Change(ctx context.Context, set command.ChangeSet, operation string) (out command.Accepted, err error) {
	header := http.Header{}
	if operation != "" {
		header.Set(command.HeaderOperation, operation)
	}
	return out, c.call(ctx, http.MethodPost, "changes", set, &out, header)
}

// Operation returns the result of an operation.
func (c *Client) Operation(ctx context.Context, id string) (out resource.Result, err error) {
	return out, c.call(ctx, http.MethodGet, "operations/"+url.PathEscape(id), nil, &out, nil)
}

// Status returns the status of all processes as known to the router.
func (c *Client) Status(ctx context.Context) (out query.Status, err error) {
	return out, c.call(ctx, http.MethodGet, "status", nil, &out, nil)
}

// Watch calls f for each existing resource of a kind and then for each change to one,
// until ctx ends.
func (c *Client) Watch(ctx context.Context, kind string, f func(query.Resource)) error {
	resp, err := c.send(ctx, http.MethodGet, url.PathEscape(kind)+"?watch", nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var r query.Resource
		if json.Unmarshal(lines.Bytes(), &r) == nil && r.Name != "" {
			f(r)
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return fault.New(fault.LinkLost, "watch of kind %q ended: %v", kind, lines.Err())
}

// Plan compares the desired resources with the current configuration. It returns the
// changes that are needed and the lines of their description.
func (c *Client) Plan(ctx context.Context, desired []resource.Desired) (command.ChangeSet, []string, error) {
	var set command.ChangeSet
	var lines []string
	for _, d := range desired {
		current, err := c.Get(ctx, string(d.Kind), d.Name)
		if err != nil && !fault.Is(err, fault.NotFound) {
			return set, nil, err
		}
		base := current.Revision
		change := command.ChangeSetElement{Verb: resource.Put, Kind: d.Kind, Name: d.Name, Base: &base, Spec: d.Spec}
		diff := specDiff(current.Spec, d.Spec)
		if len(diff) == 0 {
			continue
		}
		marker := "~" // an existing resource is changed
		if current.Revision == 0 {
			marker = "+" // a resource is added
		}
		lines = append(lines, fmt.Sprintf("%s %s/%s", marker, d.Kind, d.Name))
		lines = append(lines, diff...)
		set.Changes = append(set.Changes, change)
	}
	return set, lines, nil
}
