// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/wingvale/wingvale/internal/exchange"
)

const (
	headerContentType     = "Content-Type"
	headerContentEncoding = "Content-Encoding"
	typeEventStream       = "text/event-stream"
	typeJSON              = "application/json"
	suffixJSON            = "+json"
)

// bodyEnd says what is known of a body that ended without an error.
type bodyEnd int

const (
	// endVerified means that the body is whole, by its framing or by its own form.
	endVerified bodyEnd = iota
	// endUnverified means that the body ended with its connection and has no form that could be
	// checked.
	endUnverified
	// endBroken means that the server broke the body off.
	endBroken
)

// errBodyBroken means that a server broke its answer off.
var errBodyBroken = errors.New("relay: the connection ended inside the body")

// endOf checks a buffered body that ended without an error. truncated means that the body goes
// on after what was buffered.
func endOf(answer *exchange.Answer, body []byte, truncated bool) bodyEnd {
	switch {
	case answer.Framing != exchange.FramingConnection:
		return endVerified
	case truncated || !isJSON(answer.Header) || answer.Header.Get(headerContentEncoding) != "":
		return endUnverified
	default:
		return jsonEnd(body)
	}
}

// jsonEnd returns what the values in an unframed body show of its end. A number or a literal may be the
// start of a longer one, and bytes that are not JSON show nothing.
func jsonEnd(body []byte) bodyEnd {
	decoder := json.NewDecoder(bytes.NewReader(body))
	var last json.RawMessage
	for {
		var value json.RawMessage
		err := decoder.Decode(&value)
		switch {
		case err == nil:
			last = value
		case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) && last == nil:
			return endBroken
		case errors.Is(err, io.EOF) && strings.IndexByte(`{["`, last[0]) >= 0:
			return endVerified
		default:
			return endUnverified
		}
	}
}

func isJSON(h http.Header) bool {
	kind := mediaType(h)
	return kind == typeJSON || strings.HasSuffix(kind, suffixJSON)
}

// isEventStream reports whether the answer to a stream is a series of events. One that states no
// type is taken for one.
func isEventStream(h http.Header) bool {
	kind := mediaType(h)
	return kind == "" || kind == typeEventStream
}

// mediaType returns the media type of an answer, in lower case.
func mediaType(h http.Header) string {
	kind, _, err := mime.ParseMediaType(h.Get(headerContentType))
	if err != nil && !errors.Is(err, mime.ErrInvalidMediaParameter) {
		return ""
	}
	return kind
}
