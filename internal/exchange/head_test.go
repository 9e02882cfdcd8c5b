// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/verdict"
)

// received is an answer as its caller gets it.
type received struct {
	status int
	header http.Header
	body   string
}

// exchangeBytes sends a request to a server that answers with the given bytes and closes the connection.
func exchangeBytes(t *testing.T, method, answer string) (received, error) {
	t.Helper()
	var got received
	var failure error
	synctest.Test(t, func(t *testing.T) {
		pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
			_, _ = request(r)
			_, _ = io.WriteString(conn, answer)
		})
		a, err := pool.Do(t.Context(), exchange.Call{Address: server, Method: method, Target: "/", Host: "h", Header: http.Header{}})
		if failure = err; err != nil {
			return
		}
		body, err := io.ReadAll(a.Body)
		failure = err
		got = received{status: a.Status, header: a.Header, body: string(body)}
		time.Sleep(time.Second)
	})
	return got, failure
}

// checkRejected checks that no caller gets an answer.
func checkRejected(t *testing.T, answer string) {
	t.Helper()
	got, err := exchangeBytes(t, http.MethodGet, answer)
	v := verdict.As(err)
	assert.Check(t, err != nil, "%.60q arrived as %+v", answer, got)
	assert.Check(t, err == nil || v.Verdict == verdict.Unknown, "%.60q: %v", answer, err)
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// An answer with an invalid status was skipped as an interim one or passed on, so that what followed it, or its body,
// was taken for the answer.
func TestInvalidStatusIsTakenForAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "700", "999"} {
		checkRejected(t, "HTTP/1.1 "+status+" Trouble\r\n\r\n"+wholeAnswer)
		checkRejected(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\nok")
	}
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 OK"} {
		checkRejected(t, line+"\r\nContent-Length: 2\r\n\r\nok")
	}
}

// An answer with a blank in the name of a field was passed on with that line, or with a body that had another end than
// its server meant.
func TestInvalidFieldNameIsPassedOn(t *testing.T) {
	for _, line := range []string{
		"Bad Name: x", "Trailing : x", "Content-Length : 1", "Transfer-Encoding : chunked", "Id : 1", " Leading: x", "\tLeading: x",
		"Tab\tName: x", "Nul\x00Name: x", "Bell\x07: x", "Delete\x7f: x", "Sep(arator): x", "At@Sign: x", "High\xe9: x", ": x", " : x", "No colon",
	} {
		checkRejected(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok")
		checkRejected(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+wholeAnswer)
	}
	checkRejected(t, "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok")
}

// Sound answers were rejected.
func TestSoundHeadIsRejected(t *testing.T) {
	for _, status := range []int{200, 201, 202, 206, 301, 400, 401, 404, 408, 409, 413, 421, 429, 431, 500, 502, 503, 504, 599} {
		got, err := exchangeBytes(t, http.MethodGet, fmt.Sprintf("HTTP/1.1 %d Reason\r\nContent-Length: 2\r\n\r\nok", status))
		assert.NilError(t, err, "status %d", status)
		assert.Equal(t, got.status, status)
		assert.Equal(t, got.body, "ok")
	}
	for name, c := range map[string]struct{ method, answer, body string }{
		"no reason":            {"GET", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok"},
		"HTTP/1.0":             {"GET", "HTTP/1.0 200 OK\r\n\r\nok", "ok"},
		"no length":            {"GET", "HTTP/1.1 200 OK\r\n\r\nok", "ok"},
		"length 0":             {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
		"chunks":               {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
		"204":                  {"GET", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		"304":                  {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", ""},
		"HEAD":                 {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", ""},
		"interim answers":      {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Unknown\r\n\r\n" + wholeAnswer, "ok"},
		"empty value":          {"GET", "HTTP/1.1 200 OK\r\nEmpty:\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"blanks around values": {"GET", "HTTP/1.1 200 OK\r\nName: \t value \t\r\nContent-Length:   2 \r\n\r\nok", "ok"},
		"high bytes":           {"GET", "HTTP/1.1 200 OK\r\nName: caf\xe9 \u20ac\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"same name":            {"GET", "HTTP/1.1 200 OK\r\nName: a\r\nname: b\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"any token":            {"GET", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 2\r\n\r\nok", "ok"},
		"line feeds":           {"GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "ok"},
	} {
		got, err := exchangeBytes(t, c.method, c.answer)
		assert.NilError(t, err, name)
		assert.Equal(t, got.body, c.body, name)
	}
	got, err := exchangeBytes(t, http.MethodGet, "HTTP/1.1 200 OK\r\nName: a\r\nname: b\r\nEmpty:\r\nHigh: \xe9\r\nContent-Length: 2\r\n\r\nok")
	assert.NilError(t, err)
	assert.DeepEqual(t, got.header, http.Header{"Name": {"a", "b"}, "Empty": {""}, "High": {"\xe9"}, "Content-Length": {"2"}})
}

// A server stopped in the middle of a head and closed the connection, and its caller got an answer with an empty or a
// short body.
func TestHeadCutAtAnyByteIsAnAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		strings.ReplaceAll("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "\r", ""),
	} {
		for cut := range head {
			checkRejected(t, head[:cut])
		}
	}
}
