// Package inquirer asks instances for their admin pages.
//
// The pages /config, /status and /events are read with what an instance tells:
// parts that an older or newer instance leaves out or adds do no harm.
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
	// maxPage bounds a page; 65,536 events of about 300 bytes are 20 MB.
	maxPage = 64 << 20
	timeout = 10 * time.Second
)

// Client asks instances; the zero value is ready to use.
type Client struct {
	HTTP *http.Client
}

// PublishedConfig is the configuration in force at an instance.
type PublishedConfig struct {
	Version int64  `json:"version"`
	Hash    string `json:"hash"`
	Text    string `json:"text"`
}

// Member is an instance as another one sees it.
type Member struct {
	ID            string `json:"id"`
	DataCentre    string `json:"dataCentre"`
	Address       string `json:"address"`
	State         string `json:"state"`
	ConfigVersion int64  `json:"configVersion"`
}

// Target is a target as an instance sees it.
type Target struct {
	ID   string `json:"id"`
	Load *Load  `json:"load"`
}

// Load is a target's load as an instance sees it.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Status is what an instance tells of itself and of what it sees.
type Status struct {
	Instance      string
	ConfigVersion int64
	Members       []Member
	Targets       []Target
	// Fields holds every part of the page.
	Fields map[string]any
}

// Config returns the configuration in force at an instance.
func (c *Client) Config(ctx context.Context, addr string) (*PublishedConfig, error) {
	body, err := c.get(ctx, PageURL(addr, "/config"))
	if err != nil {
		return nil, err
	}
	p := new(PublishedConfig)
	if err := json.Unmarshal(body, p); err != nil {
		return nil, failer.Wrap(err, "read the configuration of", addr, "config")
	}
	return p, nil
}

// Status returns the status page of an instance.
func (c *Client) Status(ctx context.Context, addr string) (*Status, error) {
	body, err := c.get(ctx, PageURL(addr, "/status"))
	if err != nil {
		return nil, err
	}
	st, err := parseStatus(body)
	return st, failer.Wrap(err, "read the status of", addr, "status")
}

// parseStatus reads each known part by itself, so that one of another form does not hide the others.
func parseStatus(body []byte) (*Status, error) {
	parts := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &parts); err != nil {
		return nil, err
	}
	st := &Status{Fields: map[string]any{}}
	if err := json.Unmarshal(body, &st.Fields); err != nil {
		return nil, err
	}
	var named struct {
		ID            string `json:"id"`
		ConfigVersion int64  `json:"configVersion"`
	}
	part(parts, "instance", &st.Instance)
	part(parts, "instance", &named)
	if st.Instance == "" {
		st.Instance = named.ID
	}
	st.ConfigVersion = named.ConfigVersion
	part(parts, "configVersion", &st.ConfigVersion)
	part(parts, "members", &st.Members)
	part(parts, "targets", &st.Targets)
	return st, nil
}

// part fills in v if the page has the part in the expected form.
func part(parts map[string]json.RawMessage, name string, v any) {
	if raw, ok := parts[name]; ok {
		_ = json.Unmarshal(raw, v) // a part of another form is still in All
	}
}

// OutstandingRequests returns the requests in progress at each target, and whether the instance tells them of any.
func (s *Status) OutstandingRequests() (map[string]int, bool) {
	out := map[string]int{}
	for _, t := range s.Targets {
		if t.Load != nil {
			out[t.ID] = t.Load.Running + t.Load.Waiting
		}
	}
	return out, len(out) > 0
}

// Events returns the page /events, or another page if the URL names one.
func (c *Client) Events(ctx context.Context, url string) ([]byte, error) {
	if !strings.Contains(strings.TrimPrefix(strings.TrimPrefix(url, "http://"), "https://"), "/") {
		url = PageURL(url, "/events")
	}
	return c.get(ctx, url)
}

// PageURL returns the URL of an instance's page; addr may be a URL already.
func PageURL(addr, page string) string {
	if !strings.HasPrefix(addr, "http://") && !strings.HasPrefix(addr, "https://") {
		addr = "http://" + addr
	}
	return strings.TrimSuffix(addr, "/") + page
}

func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPage))
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
