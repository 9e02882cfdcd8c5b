// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange

import "net/http"

// Framing is how the end of an answer's body is marked (RFC 9112, section 6.3).
type Framing int

// The framings of an answer.
const (
	// FramingUnknown is the framing of no answer.
	FramingUnknown Framing = iota
	// FramingLength is a body of a stated length, or none.
	FramingLength
	// FramingChunked is a body in chunks with a last chunk.
	FramingChunked
	// FramingConnection is a body that ends with its connection. Its end does not show whether
	// the server had sent all of it.
	FramingConnection
)

// String returns the name of the framing in log lines.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingChunked:
		return "chunked"
	case FramingConnection:
		return "connection"
	default:
		return "unknown"
	}
}

// framingOf returns the framing of a response to a request with the given method.
func framingOf(method string, response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramingChunked
	case response.ContentLength >= 0 || method == http.MethodHead:
		return FramingLength
	default:
		return FramingConnection
	}
}
