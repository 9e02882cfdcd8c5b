// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package wire reads and writes JSON bodies of limited size and server-sent events.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/tmaxmax/go-sse"
)

// Header names and content types shared by clients and servers.
const (
	ContentType = "Content-Type"
	TypeJSON    = "application/json"
	TypeEvents  = "text/event-stream"
)

// MaxHeadBytes limits the head of an answer, in bytes.
const MaxHeadBytes = 64 << 10

// ErrTooLarge means that a body exceeds its size limit.
var ErrTooLarge = errors.New("wire: body too large")

// Checker is a type that validates itself after it has been decoded.
type Checker interface{ Check() error }

// Read decodes exactly one JSON value of at most limit bytes and rejects fields unknown to
// T. If T is a Checker, the value is validated.
func Read[T any](r io.Reader, limit int64) (T, error) {
	return read[T](r, limit, true)
}

// ReadLenient is like Read but ignores unknown fields. It is meant for values from other
// systems.
func ReadLenient[T any](r io.Reader, limit int64) (T, error) {
	return read[T](r, limit, false)
}

func read[T any](r io.Reader, limit int64, strict bool) (T, error) {
	var v T
	bounded := &io.LimitedReader{R: r, N: limit + 1}
	d := json.NewDecoder(bounded)
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(&v); err != nil {
		if bounded.N <= 0 {
			return v, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		}
		return v, fmt.Errorf("wire: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		if bounded.N <= 0 {
			return v, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		}
		return v, errors.New("wire: unexpected or incomplete data after the JSON value")
	}
	if c, ok := any(v).(Checker); ok {
		if err := c.Check(); err != nil {
			return v, err
		}
	}
	return v, nil
}

// Write sends v as a JSON response. An error means that the client has disconnected, or
// that v cannot be encoded.
func Write(w http.ResponseWriter, status int, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("wire: %w", err)
	}
	w.Header().Set(ContentType, TypeJSON)
	w.WriteHeader(status)
	_, err = w.Write(append(data, '\n'))
	return err
}

// EventWriter writes a stream of server-sent events.
type EventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// NewEventWriter prepares the stream: the status and headers are sent with the first event.
func NewEventWriter(w http.ResponseWriter) *EventWriter {
	w.Header().Set(ContentType, TypeEvents)
	w.Header().Set("Cache-Control", "no-store")
	return &EventWriter{w: w, control: http.NewResponseController(w)}
}

// Send writes one event with v as JSON. kind and id may be empty. The event is not
// flushed.
func (e *EventWriter) Send(kind, id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("wire: %w", err)
	}
	return e.SendText(kind, id, string(data))
}

// SendText is like Send for data that is already text.
func (e *EventWriter) SendText(kind, id, data string) error {
	m := sse.Message{}
	m.AppendData(data)
	if kind != "" {
		m.Type = sse.Type(kind)
	}
	if id != "" {
		m.ID = sse.ID(id)
	}
	_, err := m.WriteTo(e.w)
	return err
}

// KeepAlive writes a comment, which only shows the client that the server is alive.
func (e *EventWriter) KeepAlive() error {
	m := sse.Message{}
	m.AppendComment("alive")
	_, err := m.WriteTo(e.w)
	return err
}

// Flush sends buffered data to the client.
func (e *EventWriter) Flush() error {
	return e.control.Flush()
}
