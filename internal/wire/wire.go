// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package wire reads and writes bounded JSON bodies and server-sent events.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/tmaxmax/go-sse"
)

// Header names that the edges share.
const (
	ContentType = "Content-Type"
	TypeJSON    = "application/json"
	TypeEvents  = "text/event-stream"
)

// ErrTooLarge says that a body is longer than its limit.
var ErrTooLarge = errors.New("wire: body too large")

// Checker is a type that checks itself once decoded.
type Checker interface{ Check() error }

// Read decodes exactly one JSON value of at most limit bytes and refuses
// fields that T does not have. A T that is a Checker is checked.
func Read[T any](r io.Reader, limit int64) (T, error) {
	return read[T](r, limit, true)
}

// ReadLoose is Read for values of others, whose unknown fields are passed over.
func ReadLoose[T any](r io.Reader, limit int64) (T, error) {
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
		return v, errors.New("wire: something follows the JSON value or cuts it off")
	}
	if c, ok := any(v).(Checker); ok {
		if err := c.Check(); err != nil {
			return v, err
		}
	}
	return v, nil
}

// Write answers with v as JSON. An error means that the reader is gone.
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

// Events writes a stream of server-sent events.
type Events struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// NewEvents starts the stream: status and headers go out with the first event.
func NewEvents(w http.ResponseWriter) *Events {
	w.Header().Set(ContentType, TypeEvents)
	w.Header().Set("Cache-Control", "no-store")
	return &Events{w: w, control: http.NewResponseController(w)}
}

// Send writes one event. kind and id may be empty. The event is not flushed.
func (e *Events) Send(kind, id string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("wire: %w", err)
	}
	return e.SendText(kind, id, string(data))
}

// SendText is Send with data that is already text.
func (e *Events) SendText(kind, id, data string) error {
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

// Alive writes a comment, which tells a reader only that the writer runs.
func (e *Events) Alive() error {
	m := sse.Message{}
	m.AppendComment("alive")
	_, err := m.WriteTo(e.w)
	return err
}

// Flush sends what was written.
func (e *Events) Flush() error {
	return e.control.Flush()
}
