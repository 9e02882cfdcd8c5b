// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Piece is one piece of a stage.
type Piece struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	LeftMs int64    `json:"left_ms"`
	Key    string   `json:"tls_key"`
	Inputs []string `json:"inputs"`
}

// Answer is the whole answer of a server, and what it does besides.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Events, if set, are the events of a stream, sent in chunks with Pause between them.
	Events []string
	Pause  time.Duration
	// Extra makes the server send the answer once more on the same connection, at the place where
	// the next answer should come.
	Extra bool
	// Close makes the server close the connection after the answer.
	Close bool
}

// Runner is a stand-in of one server. It serves one request at a time on each connection.
type Runner struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Address netip.AddrPort
	// Handle returns the answer to a request whose body has been read.
	Handle func(r *Runner, request *http.Request, body []byte) Answer
	// SentExtra is called after an extra answer was sent.
	SentExtra func(r *Runner, request *http.Request, body []byte)

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// Start starts the server.
func (r *Runner) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener, r.conns = l, make(map[net.Conn]bool)
	r.Address = netip.MustParseAddrPort(l.Addr().String())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return nil
}

// Close ends the server and its connections.
func (r *Runner) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Entry returns the server's entry in the store.
func (r *Runner) Entry(state string) map[string]any {
	return map[string]any{
		"service": r.Service, "address": r.Address.String(), "zone": r.Zone, "version": "v1", "slots": r.Slots,
		"state": state, "cold_left_ms": 0, "seq": 1,
	}
}

func (r *Runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	// owed is an extra answer to send where the next one should come.
	var owed []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if owed != nil {
			if _, err := c.Write(owed); err != nil {
				return
			}
			owed = nil
			if r.SentExtra != nil {
				r.SentExtra(r, request, body)
			}
		}
		a := r.answer(request, body)
		sent, err := a.write(c)
		if err != nil || a.Close {
			return
		}
		if a.Extra {
			owed = sent
		}
	}
}

func (r *Runner) answer(request *http.Request, body []byte) Answer {
	if request.URL.Path == "/wingvale/report" {
		return JSONAnswer(http.StatusOK, map[string]any{
			"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"busy_slots": false, "seq": 1, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 600000, "handles": 0,
		})
	}
	if want := request.Header.Get("Expect-Instance"); want != "" && want != r.ID {
		return Answer{Status: http.StatusMisdirectedRequest, Header: http.Header{"Instance-Id": {r.ID}}}
	}
	a := r.Handle(r, request, body)
	if a.Header == nil {
		a.Header = make(http.Header)
	}
	if id := request.Header.Get("Attempt-Id"); id != "" {
		a.Header.Set("Attempt-Id", id)
		if a.Header.Get("Not-Executed") == "" {
			a.Header.Set("Response-Signature", "sig."+r.ID+"."+id)
		}
	}
	return a
}

// JSONAnswer returns an answer with a JSON body.
func JSONAnswer(status int, value any) Answer {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return Answer{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: data}
}

// write sends the answer and returns its bytes.
func (a Answer) write(c net.Conn) ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	_ = a.Header.Write(&b)
	if a.Events == nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(a.Body))
		b.Write(a.Body)
		_, err := c.Write(b.Bytes())
		return b.Bytes(), err
	}
	b.WriteString("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	sent := b.String()
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	for _, event := range a.Events {
		time.Sleep(a.Pause)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		sent += chunk
		if _, err := io.Copy(c, strings.NewReader(chunk)); err != nil {
			return nil, err
		}
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return []byte(sent + "0\r\n\r\n"), err
}

// Pieces decodes a stage call.
func Pieces(body []byte) ([]Piece, error) {
	var call struct {
		Items []Piece `json:"items"`
	}
	err := json.Unmarshal(body, &call)
	return call.Items, err
}
