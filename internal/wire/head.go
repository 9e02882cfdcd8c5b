// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// MaxStatus is the highest valid status code (RFC 9110, section 15).
const MaxStatus = 599

// tokenPunctuation has the characters of a token that are neither letters nor digits (RFC 9110, section 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// errInvalidHead is wrapped by the errors for heads that are not those of an HTTP/1 response.
var errInvalidHead = errors.New("wire: invalid head of a response")

// CheckHead returns an error if a head that net/http has parsed is not that of a valid HTTP/1 response. net/http takes
// any three digits for a status, any version, and blanks in the names of fields. A field with such a name is another
// one than its sender meant, so that the body may have another end.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %.20q", errInvalidHead, r.Proto)
	}
	// No request of this project asks for another protocol.
	if r.StatusCode < http.StatusContinue || r.StatusCode > MaxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", errInvalidHead, r.StatusCode)
	}
	for name := range r.Header {
		if !isToken(name) {
			return fmt.Errorf("%w: field name %.40q", errInvalidHead, name)
		}
	}
	return nil
}

// isToken reports whether a text is a token as RFC 9110 defines it.
func isToken(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool {
		isAlphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		return !isAlphanumeric && !strings.ContainsRune(tokenPunctuation, c)
	})
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
