package published

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("platform")
	// ErrAbsent is returned if the value doesn't exist.
	ErrAbsent = Errors.NewType("absent", errorx.NotFound())
	// ErrUnchanged is returned if a watch ends without a newer revision.
	ErrUnchanged = Errors.NewType("unchanged", errorx.Timeout())
	// ErrUnavailable is returned if the service can't be reached or its response
	// is invalid.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
)

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

// Client implements Reader over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ Reader = (*Client)(nil)

// NewClient returns a client for the service at the base URL, such as
// "http://127.0.0.1:7000".
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Read implements Reader.
func (c *Client) Read(ctx context.Context, name string) (Value, error) {
	return c.get(ctx, name, nil)
}

// Watch implements Reader.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {wait.String()},
	}
	return c.get(ctx, name, query)
}

func (c *Client) get(ctx context.Context, name string, query url.Values) (Value, error) {
	target := fmt.Sprintf("%s/v1/values/%s?%s", c.base, name, query.Encode())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Value{}, ErrUnavailable.Wrap(err, "creating request for %s", name)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, ErrUnavailable.Wrap(err, "reading %s", name)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return readValue(name, resp)
	case http.StatusNotModified:
		// The caller needs the newest revision to detect a stale replica.
		newest, _ := strconv.ParseUint(resp.Header.Get(HeaderRevision), 10, 64)
		return Value{Name: name, Revision: newest}, ErrUnchanged.New("%s is unchanged", name)
	case http.StatusNotFound:
		return Value{}, ErrAbsent.New("%s doesn't exist", name)
	default:
		return Value{}, ErrUnavailable.New("reading %s: status %d", name, resp.StatusCode)
	}
}

func readValue(name string, resp *http.Response) (Value, error) {
	revision, err := strconv.ParseUint(resp.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return Value{}, ErrUnavailable.Wrap(err, "revision of %s", name)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, ErrUnavailable.Wrap(err, "body of %s", name)
	}
	if len(data) > maxValueBytes {
		return Value{}, ErrUnavailable.New("%s is larger than %d bytes", name, maxValueBytes)
	}
	return Value{Name: name, Revision: revision, Data: data}, nil
}
