// Package inquirer is an HTTP client for the admin pages of instances.
//
// It reads /config, /status and /events. Instances that run other releases of
// the program may add or omit top-level fields of /status: unknown fields are
// retained as they are, and missing ones have their zero value.
//
// # Usage
//
//	c := &inquirer.Client{}
//	p, err := c.Config(ctx, "127.0.0.1:8080")
//	st, err := c.Status(ctx, "127.0.0.1:8080")
package inquirer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// maxPageBytes bounds the size of a page; 65,536 events of about 300 bytes take 20 MB.
	maxPageBytes   = 64 << 20
	requestTimeout = 10 * time.Second
)

// Client requests admin pages. The zero value is ready to use.
type Client struct {
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// PublishedConfig is the published configuration in force at an instance.
type PublishedConfig struct {
	Version int64  `json:"version"`
	Hash    string `json:"hash"`
	Text    string `json:"text"`
}

// Member is an instance in the member list of the queried instance.
type Member struct {
	ID            string `json:"id"`
	DataCentre    string `json:"dataCentre"`
	Address       string `json:"address"`
	State         string `json:"state"`
	ConfigVersion int64  `json:"configVersion"`
}

// Target is a target as the queried instance reports it.
type Target struct {
	ID   string `json:"id"`
	Load *Load  `json:"load"`
}

// Load is the load of a target as the queried instance reports it, in requests.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Status is the status page of an instance.
type Status struct {
	Instance      string
	ConfigVersion int64
	Members       []Member
	Targets       []Target
	// Fields holds the complete page, including unknown fields.
	Fields map[string]any
}

// Config returns the configuration in force at the instance with the given address.
func (c *Client) Config(ctx context.Context, addr string) (*PublishedConfig, error) {
	body, err := c.get(ctx, PageURL(addr, "/config"))
	if err != nil {
		return nil, err
	}
	p := new(PublishedConfig)
	if err := json.Unmarshal(body, p); err != nil {
		return nil, failer.Wrap(err, "decode the configuration of", addr, "config")
	}
	return p, nil
}

// Status returns the status page of the instance with the given address.
func (c *Client) Status(ctx context.Context, addr string) (*Status, error) {
	body, err := c.get(ctx, PageURL(addr, "/status"))
	if err != nil {
		return nil, err
	}
	st, err := parseStatus(body)
	return st, failer.Wrap(err, "decode the status of", addr, "status")
}

// parseStatus decodes each known field by itself, so that one of an unexpected type does not hide the others.
func parseStatus(body []byte) (*Status, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	st := &Status{Fields: map[string]any{}}
	if err := json.Unmarshal(body, &st.Fields); err != nil {
		return nil, err
	}
	var identity struct {
		ID            string `json:"id"`
		ConfigVersion int64  `json:"configVersion"`
	}
	decodeField(fields, "instance", &st.Instance)
	decodeField(fields, "instance", &identity)
	if st.Instance == "" {
		st.Instance = identity.ID
	}
	st.ConfigVersion = identity.ConfigVersion
	decodeField(fields, "configVersion", &st.ConfigVersion)
	decodeField(fields, "members", &st.Members)
	decodeField(fields, "targets", &st.Targets)
	return st, nil
}

// decodeField decodes a field into v if the page has the field with the expected type.
func decodeField(fields map[string]json.RawMessage, name string, v any) {
	if raw, ok := fields[name]; ok {
		_ = json.Unmarshal(raw, v) // a field of another type is still in Status.Fields
	}
}

// OutstandingRequests returns the number of running and queued requests by target, and whether the instance reports the load of
// any target.
func (s *Status) OutstandingRequests() (map[string]int, bool) {
	out := map[string]int{}
	for _, t := range s.Targets {
		if t.Load != nil {
			out[t.ID] = t.Load.Running + t.Load.Waiting
		}
	}
	return out, len(out) > 0
}

// Events returns the page /events of the instance at url. If url has a path, it returns that page instead.
func (c *Client) Events(ctx context.Context, url string) ([]byte, error) {
	if !strings.Contains(strings.TrimPrefix(strings.TrimPrefix(url, "http://"), "https://"), "/") {
		url = PageURL(url, "/events")
	}
	return c.get(ctx, url)
}

// PageURL returns the URL of an admin page. addr is a host and port or the base URL of an instance.
func PageURL(addr, page string) string {
	if !strings.HasPrefix(addr, "http://") && !strings.HasPrefix(addr, "https://") {
		addr = "http://" + addr
	}
	return strings.TrimSuffix(addr, "/") + page
}

func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, failer.Wrap(err, "ask", url, "")
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, failer.Wrap(err, "ask", url, "")
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPageBytes))
	if err != nil {
		return nil, failer.Wrap(err, "ask", url, "")
	}
	if res.StatusCode != http.StatusOK {
		return nil, failer.Wrap(fmt.Errorf("status %d: %s", res.StatusCode, firstLine(body)), "ask", url, "")
	}
	return body, nil
}

func firstLine(b []byte) string {
	line, _, _ := strings.Cut(string(b), "\n")
	return line
}
