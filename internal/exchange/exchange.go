// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// maxSyncRequest is the size up to which a request is written before the answer is
	// read. Longer requests are written concurrently, because the server may answer before
	// it has read the request, or not read it at all.
	maxSyncRequest = 2 << 10
	// silenceThreshold is how long a request must have waited on a reused connection
	// without receiving a byte for the other idle connections to that server to be
	// considered silent too. It is many times a server's usual response time.
	silenceThreshold = 200 * time.Millisecond
	// writeGrace is how long the end of a request may still be on its way when its answer has ended.
	writeGrace = 200 * time.Millisecond
	// silenceWindow is how soon after each other the connections to two servers must turn out
	// to be silent for all older idle connections to be considered silent too.
	silenceWindow = 2 * time.Second
)

// Call is a request to a backend server.
type Call struct {
	Address netip.AddrPort
	Method  string
	// Target is the path and query as written to the request line.
	Target string
	Host   string
	// Header must not contain Host, Content-Length or Transfer-Encoding.
	Header http.Header
	Body   []byte
	// NewConnection requires a new connection. The server may be about to close an idle
	// one, and then it is unknown whether the request ran.
	NewConnection bool
	// SilentAfter is how long the call may wait on a reused connection without receiving a
	// byte before that connection is considered silent, at least 200 ms. 0 means until ctx ends.
	SilentAfter time.Duration
	// OnReuse, if set, is called before the call is sent if its connection is a reused one.
	OnReuse func()
	// Matches reports whether an answer belongs to the request. Other answers are skipped:
	// they are late answers to earlier requests. If Matches is nil, any answer is accepted.
	Matches func(status int, header http.Header) bool
	// Unidentified means that nothing in the head of an answer tells whose it is. The connection is kept only
	// if Accept is called.
	Unidentified bool
}

// Answer is a backend server's answer. Its Body must be read to the end or closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// Framing is how the end of Body is marked.
	Framing Framing
	Body    io.ReadCloser
	// Reused reports whether the connection had carried another request before.
	Reused bool
}

// Do sends call once. The error is a *verdict.Error: NotRun if no byte can have reached
// the server, Unknown otherwise. If ctx ends, even while the body is being read, the
// connection is closed.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConnection, "exchange: not sent to %s: %w", call.Address, err)
	}
	var c *conn
	if !call.NewConnection {
		c = p.takeIdle(call.Address, time.Now())
	}
	reused := c != nil
	if c == nil {
		var err error
		if c, err = p.connect(ctx, call.Address); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonConnection, "exchange: connect to %s: %w", call.Address, err)
		}
	}
	if reused && call.OnReuse != nil {
		call.OnReuse()
	}
	began := time.Now()
	c.received.Store(false)
	e := &exchange{pool: p, call: call, conn: c, reused: reused}
	e.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if reused && call.SilentAfter > 0 {
		overdue := time.AfterFunc(max(call.SilentAfter, silenceThreshold), func() {
			if !c.received.Load() {
				p.recordSilence(call.Address, began)
			}
		})
		defer overdue.Stop()
	}
	answer, err := e.roundTrip()
	if err != nil {
		e.abandon()
		if reused && !c.received.Load() && ctx.Err() != nil && time.Since(began) >= silenceThreshold {
			p.recordSilence(call.Address, began)
		}
		return nil, err
	}
	p.observer.Answered(call.Address)
	if reused {
		p.recordAnswer(c.openedAt, time.Now())
	}
	answer.Reused = reused
	return answer, nil
}

// exchange is a request in progress on a connection.
type exchange struct {
	pool *Pool
	call Call
	conn *conn
	stop func() bool
	// reused reports whether the connection has carried another request.
	reused bool
	// writeResult receives the result of writing the request; it is nil once that has been
	// received.
	writeResult chan error
	// sent reports whether the whole request has been written.
	sent bool
}

func (e *exchange) roundTrip() (*Answer, error) {
	request := e.encode()
	if len(request) <= maxSyncRequest {
		n, err := e.conn.Write(request)
		if err != nil {
			return nil, sendError(n, err)
		}
		e.sent = true
	} else {
		e.writeResult = make(chan error, 1)
		go func() {
			n, err := e.conn.Write(request)
			if err != nil {
				err = sendError(n, err)
			}
			e.writeResult <- err
		}()
	}
	return e.readHead()
}

func sendError(n int, err error) error {
	if n == 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonConnection, "exchange: nothing was sent: %w", err)
	}
	return verdict.New(verdict.Unknown, verdict.ReasonConnection, "exchange: sent %d bytes: %w", n, err)
}

func (e *exchange) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(e.call.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", e.call.Method, e.call.Target, e.call.Host)
	// Writing to a bytes.Buffer cannot fail.
	_ = e.call.Header.Write(&b)
	if len(e.call.Body) > 0 || e.call.Method != http.MethodGet && e.call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(e.call.Body)
	return b.Bytes()
}

// readHead reads the head of the answer that belongs to the request. A server may send bytes without end that are
// no answer, so all that is read before is limited.
func (e *exchange) readHead() (*Answer, error) {
	asked := &http.Request{Method: e.call.Method}
	left := wire.MaxHeadBytes
	for stray, interim := 0, 0; ; {
		e.conn.limitRead(left)
		response, err := http.ReadResponse(e.conn.reader, asked)
		left = e.conn.readLeft
		e.conn.unlimitRead()
		if err != nil {
			return nil, e.readError(err)
		}
		if err := wire.CheckHead(response); err != nil {
			return nil, e.readError(badAnswer("%w", err))
		}
		if response.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return nil, e.readError(badAnswer("more than %d interim answers", maxInterimAnswers))
			}
			continue
		}
		if e.call.Matches == nil || e.call.Matches(response.StatusCode, response.Header) {
			return e.newAnswer(response), nil
		}
		// On a new connection there is no earlier request that the answer could be for.
		if stray++; !e.reused || stray > maxStrayAnswers || response.Close {
			return nil, e.readError(badAnswer("answers of other requests"))
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil || n == maxStrayBytes {
			return nil, e.readError(badAnswer("another request's answer has no end"))
		}
	}
}

// readError returns the error for a missing answer. If writing failed before the first
// byte, nothing was sent.
func (e *exchange) readError(err error) error {
	_ = e.conn.Close()
	if e.writeResult != nil {
		failed := <-e.writeResult
		e.writeResult = nil
		var v *verdict.Error
		if errors.As(failed, &v) && v.Verdict == verdict.NotRun {
			return v
		}
	}
	if errors.Is(err, errHeadTooLong) {
		err = badAnswer("%w", err)
	}
	if v := (*verdict.Error)(nil); errors.As(err, &v) {
		return v
	}
	return verdict.New(verdict.Unknown, verdict.ReasonConnection, "exchange: no answer: %w", err)
}

func (e *exchange) newAnswer(response *http.Response) *Answer {
	b := &body{exchange: e, reader: response.Body, header: response.Header, framing: framingOf(e.call.Method, response)}
	b.reusable = !response.Close && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Framing: b.framing, Body: b,
	}
}

// awaitWritten reports whether the whole request is written within writeGrace.
func (e *exchange) awaitWritten() bool {
	if e.requestWritten() || e.writeResult == nil {
		return e.sent
	}
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-e.writeResult:
		e.writeResult = nil
		e.sent = err == nil
	case <-timer.C:
	}
	return e.sent
}

// requestWritten reports whether the whole request has been written by now.
func (e *exchange) requestWritten() bool {
	if e.sent || e.writeResult == nil {
		return e.sent
	}
	select {
	case err := <-e.writeResult:
		e.writeResult = nil
		e.sent = err == nil
	default:
	}
	return e.sent
}

func (e *exchange) abandon() {
	e.stop()
	_ = e.conn.Close()
}

var (
	// errClosed is returned by reads from a body that was closed before its end.
	errClosed = errors.New("exchange: read from a closed body")
	// errUnwritten means that a connection whose end was to mark that of the answer ended before the request was
	// written.
	errUnwritten = errors.New("exchange: the connection ended before the request was written")
)

// body reads an answer's body and returns the connection to the pool at its clean end.
type body struct {
	exchange *exchange
	reader   io.ReadCloser
	header   http.Header
	framing  Framing
	reusable bool
	// err is how the body ended; nil while it goes on. It is io.EOF only if the body is whole, as far as its framing
	// shows.
	err error
	// held reports whether the body was read to its clean end and the answer was not accepted yet.
	held bool
}

// Read reads from the body. Bytes may come together with an error, which all later calls return again. At its end, the
// connection is returned to the pool if it can be reused: the end of the answer was marked by its length or chunked
// encoding, the request was written whole, and no further data has arrived.
func (b *body) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.reader.Read(buffer)
	if err == nil {
		return n, nil
	}
	e := b.exchange
	if errors.Is(err, io.EOF) && b.framing == FramingConnection && !e.awaitWritten() {
		// A reset is reported once, to the reader or to the writer of the connection. If the writer got it, the
		// reader gets io.EOF.
		err = errUnwritten
	}
	b.err = err
	if !errors.Is(err, io.EOF) || !b.reusable || !e.requestWritten() || e.conn.reader.Buffered() > 0 || !e.stop() {
		e.abandon()
		return n, err
	}
	if e.call.Unidentified {
		b.held = true
		return n, err
	}
	e.pool.putIdle(e.call.Address, e.conn, b.header, time.Now())
	return n, err
}

// Close closes the connection unless the body was read to its end, and the answer accepted if it has to be.
func (b *body) Close() error {
	if b.held {
		b.held = false
		_ = b.exchange.conn.Close()
	}
	if b.err == nil {
		b.err = errClosed
		b.exchange.abandon()
	}
	return nil
}
