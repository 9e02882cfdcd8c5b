// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"errors"
	"fmt"
	"net/http"
)

const (
	// MinStatus and MaxStatus are the limits of valid status codes (RFC 9110, section 15).
	MinStatus = 100
	MaxStatus = 599
)

// errInvalidHead is wrapped by the errors for heads that are not those of an HTTP/1 response.
var errInvalidHead = errors.New("wire: invalid head of a response")

// CheckHead returns an error if a head that net/http has parsed is not that of a valid HTTP/1 response. net/http takes
// any three digits for a status, and any version.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %.20q", errInvalidHead, r.Proto)
	}
	// No request of this project asks for another protocol.
	if r.StatusCode < MinStatus || r.StatusCode > MaxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", errInvalidHead, r.StatusCode)
	}
	return nil
}

// CheckedTransport returns a transport that rejects responses which CheckHead rejects.
func CheckedTransport(next http.RoundTripper) http.RoundTripper {
	return checkedTransport{next: next}
}

type checkedTransport struct{ next http.RoundTripper }

// RoundTrip makes a call.
func (c checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections makes http.Client.CloseIdleConnections work.
func (c checkedTransport) CloseIdleConnections() {
	if closer, ok := c.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
