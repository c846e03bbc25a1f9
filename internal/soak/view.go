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

// firstLinkPort is the port of the proxies through which the first host reaches the
// others. Each further host has the next port.
const firstLinkPort = 7710

// A storeView is a reverse proxy of the store for one host. It replaces the address of the
// leader by that of the proxy between the two hosts, so that calls to the leader use the
// links of both.
type storeView struct {
	host  int
	store http.Handler
}

// newStoreView returns the view that a host has of the store at an address.
func newStoreView(host int, storeAddress string) *storeView {
	v := &storeView{
		host: host,
	}
	v.store = &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{
				Scheme: "http",
				Host:   storeAddress,
			})
		},
		// A lost answer ends the connection without a response, as at the store itself.
		ErrorHandler:   func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
		ModifyResponse: v.modify,
	}
	return v
}

// ServeHTTP implements [http.Handler].
func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.store.ServeHTTP(w, r)
}

// modify rewrites the body of an answer of the store.
func (v *storeView) modify(r *http.Response) error {
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

// rewrite replaces the leader's address in an answer that contains the leader's row.
func (v *storeView) rewrite(body []byte) ([]byte, error) {
	name, err := json.Marshal(leader.HeadKey.Name)
	if err != nil {
		return nil, err
	}
	if !bytes.Contains(body, name) {
		return body, nil
	}
	var answer struct {
		Rows []map[string]json.RawMessage `json:"rows"`
		More bool                         `json:"more"`
		Ver  json.RawMessage              `json:"ver"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fmt.Errorf("answer of the store: %w", err)
	}
	for _, r := range answer.Rows {
		if !bytes.Equal(r["key"], name) {
			continue
		}
		if err := v.rewriteValue(r); err != nil {
			return nil, err
		}
	}
	return json.Marshal(answer)
}

// rewriteValue replaces the peer port by the port of this host's proxies. Both have the same
// number of digits, so that the lengths in the encoded value stay valid.
func (v *storeView) rewriteValue(row map[string]json.RawMessage) error {
	if row["value"] == nil {
		return nil
	}
	var value []byte
	if err := json.Unmarshal(row["value"], &value); err != nil {
		return err
	}
	value = bytes.ReplaceAll(value, portText(peerPort), portText(firstLinkPort+v.host))
	b, err := json.Marshal(value)
	row["value"] = b
	return err
}

func portText(port int) []byte {
	return fmt.Append(nil, ":", port)
}

// startLinkProxies starts a proxy for each ordered pair of hosts, if the hosts have links.
func (x *run) startLinkProxies() error {
	for caller := range x.links {
		for target := range x.links {
			if caller == target {
				continue
			}
			ip := x.ip(target + 1)
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(firstLinkPort+caller)))
			if err != nil {
				return err
			}
			NewProxy(x.ctx, l, net.JoinHostPort(ip, strconv.Itoa(peerPort)), Path{
				Caller: x.links[caller],
				Target: x.links[target],
			})
		}
	}
	return nil
}
