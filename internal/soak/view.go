package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"

	"github.com/spoolsill/spoolsill/leader"
)

// firstViewPort is the port under which the first host is shown the others.
const firstViewPort = 7710

// A view is the store as one host is shown it: the leader's address is that of
// the proxy between the two, so that calls of the leader take both links.
type view struct {
	host  int
	store http.Handler
}

// newView returns what a host is shown of the store at an address.
func newView(host int, storeAt string) *view {
	v := &view{
		host: host,
	}
	v.store = &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{
				Scheme: "http",
				Host:   storeAt,
			})
		},
		// The store breaks a connection whose answer is lost.
		ErrorHandler:   func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
		ModifyResponse: v.modify,
	}
	return v
}

// ServeHTTP implements [http.Handler].
func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.store.ServeHTTP(w, r)
}

func (v *view) modify(r *http.Response) error {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	b, err = v.rewrite(b)
	if err != nil {
		return err
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	r.ContentLength = int64(len(b))
	r.Header.Set("Content-Length", strconv.Itoa(len(b)))
	return nil
}

// rewrite changes the leader's address in an answer that tells of the leader.
func (v *view) rewrite(body []byte) ([]byte, error) {
	name, err := json.Marshal(leader.HeadKey.Name)
	if err != nil {
		return nil, err
	}
	if !bytes.Contains(body, name) {
		return body, nil
	}
	var a struct {
		Rows []map[string]json.RawMessage `json:"rows"`
		More bool                         `json:"more"`
		Ver  json.RawMessage              `json:"ver"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("answer of the store: %w", err)
	}
	for _, r := range a.Rows {
		if !bytes.Equal(r["key"], name) {
			continue
		}
		if err := v.rewriteValue(r); err != nil {
			return nil, err
		}
	}
	return json.Marshal(a)
}

// rewriteValue puts this host's port in place of the others' own, which is as
// long, so that the encoding of the value does not matter.
func (v *view) rewriteValue(row map[string]json.RawMessage) error {
	if row["value"] == nil {
		return nil
	}
	var value []byte
	if err := json.Unmarshal(row["value"], &value); err != nil {
		return err
	}
	value = bytes.ReplaceAll(value, portText(peerPort), portText(firstViewPort+v.host))
	b, err := json.Marshal(value)
	row["value"] = b
	return err
}

func portText(port int) []byte {
	return fmt.Append(nil, ":", port)
}

// linkHosts puts a proxy between each two hosts.
func (x *run) linkHosts() error {
	for i := range x.links {
		for k := range x.links {
			if i == k {
				continue
			}
			ip := x.ip(k + 1)
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(firstViewPort+i)))
			if err != nil {
				return err
			}
			NewProxy(x.ctx, l, net.JoinHostPort(ip, strconv.Itoa(peerPort)), Path{
				Caller: x.links[i],
				Target: x.links[k],
			})
		}
	}
	return nil
}
