// Package adapter is an HTTP client of the platform: the transactional table
// service, the object store and the host list. The protocol is confined to this
// package, so a port to another platform replaces only it.
//
// Every method returns an error of kind StoreDown when the service can't be
// reached or fails, in which case a write may have taken effect.
package adapter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/reporter"
	"dandeliontrack.example/dandeliontrack/internal/connection/validator"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// maxResponseBytes bounds the response body read from the platform.
const maxResponseBytes = 64 << 20

// Adapter is a client of the platform. It is safe for concurrent use.
type Adapter struct {
	client  *http.Client
	table   string
	objects string
	hosts   string
	timeout time.Duration
}

// Row is one row of the table with the revision of its last write.
type Row struct {
	Key      string `json:"key"`
	Revision string `json:"revision"`
	Value    []byte `json:"value"`
}

// HostEntry is one host in the platform's list.
type HostEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// New returns an Adapter for the three base URLs. Each call ends after timeout
// or at the context's deadline, whichever is first. A nil transport means a
// new one.
func New(table, objects, hosts string, timeout time.Duration, transport http.RoundTripper) *Adapter {
	if transport == nil {
		transport = reporter.New(&http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute})
	}
	trim := func(s string) string { return strings.TrimSuffix(s, "/") }
	return &Adapter{
		client: &http.Client{Transport: validator.New(transport)},
		table:  trim(table), objects: trim(objects), hosts: trim(hosts),
		timeout: timeout,
	}
}

func (a *Adapter) do(ctx context.Context, method, target string, header http.Header, body []byte) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, classifier.Internal.Wrap(err, "platform request")
	}
	// A conditional write must not be replayed by the transport: the replay
	// would fail on the revision that the first one made.
	req.GetBody = nil
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := a.client.Do(req)
	if err != nil {
		if ctx.Err() == context.DeadlineExceeded {
			// The other idle connections may have become unresponsive
			// together with this one, and each would cost another timeout.
			a.client.CloseIdleConnections()
		}
		return nil, nil, classifier.StoreDown.Wrap(err, "platform")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, classifier.StoreDown.Wrap(err, "platform response")
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusCreated:
		return resp, raw, nil
	case http.StatusNotFound:
		return nil, nil, classifier.NotFound.New("%s: not found", target)
	case http.StatusPreconditionFailed:
		return nil, nil, classifier.Conflict.New("%s: revision has changed", target)
	default:
		return nil, nil, classifier.StoreDown.New("%s %s: status %d", method, target, resp.StatusCode)
	}
}

func rowURL(base, key string) string { return base + "/table/" + url.PathEscape(key) }

// Get returns the row, or an error of kind NotFound if there is none.
func (a *Adapter) Get(ctx context.Context, key string) (Row, error) {
	resp, raw, err := a.do(ctx, http.MethodGet, rowURL(a.table, key), nil, nil)
	if err != nil {
		return Row{}, err
	}
	return Row{Key: key, Revision: resp.Header.Get("ETag"), Value: raw}, nil
}

// Put writes the row if its revision is still the given one, and returns the
// new revision. An empty revision means that the row must not exist. A changed
// row is an error of kind Conflict.
func (a *Adapter) Put(ctx context.Context, key, revision string, value []byte) (string, error) {
	header := http.Header{"If-Match": {revision}}
	if revision == "" {
		header = http.Header{"If-None-Match": {"*"}}
	}
	resp, _, err := a.do(ctx, http.MethodPut, rowURL(a.table, key), header, value)
	if err != nil {
		return "", err
	}
	return resp.Header.Get("ETag"), nil
}

// Delete removes the row if its revision is still the given one.
func (a *Adapter) Delete(ctx context.Context, key, revision string) error {
	_, _, err := a.do(ctx, http.MethodDelete, rowURL(a.table, key), http.Header{"If-Match": {revision}}, nil)
	return err
}

// List returns the rows whose keys start with the prefix, by key.
func (a *Adapter) List(ctx context.Context, prefix string) ([]Row, error) {
	_, raw, err := a.do(ctx, http.MethodGet, a.table+"/table?prefix="+url.QueryEscape(prefix), nil, nil)
	if err != nil {
		return nil, err
	}
	var rows []Row
	return rows, decode(raw, &rows)
}

func objectURL(base, key string) string { return base + "/objects/" + url.PathEscape(key) }

// Load returns the object, or an error of kind NotFound if there is none.
func (a *Adapter) Load(ctx context.Context, key string) ([]byte, error) {
	_, raw, err := a.do(ctx, http.MethodGet, objectURL(a.objects, key), nil, nil)
	return raw, err
}

// Save writes the object.
func (a *Adapter) Save(ctx context.Context, key string, value []byte) error {
	_, _, err := a.do(ctx, http.MethodPut, objectURL(a.objects, key), nil, value)
	return err
}

// Remove deletes the object.
func (a *Adapter) Remove(ctx context.Context, key string) error {
	_, _, err := a.do(ctx, http.MethodDelete, objectURL(a.objects, key), nil, nil)
	return err
}

// Objects returns the keys of the objects that start with the prefix, sorted.
func (a *Adapter) Objects(ctx context.Context, prefix string) ([]string, error) {
	_, raw, err := a.do(ctx, http.MethodGet, a.objects+"/objects?prefix="+url.QueryEscape(prefix), nil, nil)
	if err != nil {
		return nil, err
	}
	var keys []string
	return keys, decode(raw, &keys)
}

// Hosts returns the platform's list of hosts, which may be out of date.
func (a *Adapter) Hosts(ctx context.Context) ([]HostEntry, error) {
	_, raw, err := a.do(ctx, http.MethodGet, a.hosts+"/hosts", nil, nil)
	if err != nil {
		return nil, err
	}
	var entries []HostEntry
	return entries, decode(raw, &entries)
}

func decode(raw []byte, v any) error {
	return classifier.StoreDown.Wrap(json.Unmarshal(raw, v), "platform response")
}
