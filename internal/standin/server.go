// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
)

// Arrival is one call that a backend server began to work on.
type Arrival struct {
	Request request.ID
	Stage   string
	Attempt int
	// Input is the caller's text.
	Input string
	At    time.Time
	// Finished says that the work ended, whoever heard of it.
	Finished bool
}

// server is what all stand-ins of backend servers share.
type server struct {
	*dial
	slots    *slots
	instance string

	arrivalsMu sync.Mutex
	arrivals   []*Arrival
}

// Options describe a stand-in of a backend server.
type Options struct {
	Knobs Knobs
	// Slots is how many calls are worked on at once.
	Slots int
	// MaxWaiting is how many more may wait; beyond it calls are refused.
	MaxWaiting int
	// Instance names this run.
	Instance string
	Seed     uint64
}

func newServer(o Options) *server {
	return &server{dial: newDial(o.Knobs, o.Seed), slots: newSlots(o.Slots), instance: o.Instance}
}

// Set changes the knobs.
func (s *server) Set(change func(k *Knobs)) {
	s.set(change)
}

// Arrivals returns the calls that were begun.
func (s *server) Arrivals() []Arrival {
	s.arrivalsMu.Lock()
	defer s.arrivalsMu.Unlock()
	all := make([]Arrival, 0, len(s.arrivals))
	for _, a := range s.arrivals {
		all = append(all, *a)
	}
	return all
}

// maxArrivals bounds what is remembered.
const maxArrivals = 1 << 16

func (s *server) arrived(c backend.Call, input string) *Arrival {
	a := &Arrival{Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Input: input, At: time.Now()}
	s.arrivalsMu.Lock()
	defer s.arrivalsMu.Unlock()
	if len(s.arrivals) >= maxArrivals {
		s.arrivals = s.arrivals[1:]
	}
	s.arrivals = append(s.arrivals, a)
	return a
}

func (s *server) finished(a *Arrival) {
	s.arrivalsMu.Lock()
	defer s.arrivalsMu.Unlock()
	a.Finished = true
}

func (s *server) load() protocol.Load {
	k := s.get()
	running, waiting := s.slots.counts(k.ReportLag)
	return protocol.Load{Instance: s.instance, Running: running, Waiting: waiting, Slots: s.slots.size, Leaving: k.Leaving}
}

// call reads the call's name from the headers.
func call(r *http.Request) (backend.Call, error) {
	id, err := request.ParseID(r.Header.Get(protocol.HeaderRequest))
	if err != nil {
		return backend.Call{}, err
	}
	attempt, err := strconv.Atoi(r.Header.Get(protocol.HeaderAttempt))
	return backend.Call{Request: id, Stage: r.Header.Get(protocol.HeaderStage), Attempt: attempt}, err
}

// accept reads a call's name and body, or refuses it and reports false.
func accept[T any](s *server, w http.ResponseWriter, r *http.Request, maxWaiting int) (backend.Call, T, bool) {
	named, err := call(r)
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest, err.Error())
		return named, *new(T), false
	}
	body, err := wire.ReadLoose[T](r.Body, request.MaxBodyBytes)
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest, err.Error())
		return named, body, false
	}
	k := s.get()
	_, waiting := s.slots.counts(0)
	if k.Leaving || s.chance(k.Refuse) || maxWaiting > 0 && waiting >= maxWaiting {
		s.refuse(w, r, http.StatusServiceUnavailable, "full or leaving")
		return named, body, false
	}
	return named, body, true
}

// echo names the call on its answer.
func (s *server) echo(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{protocol.HeaderRequest, protocol.HeaderStage, protocol.HeaderAttempt} {
		w.Header().Set(name, r.Header.Get(name))
	}
	if !s.get().Silent {
		w.Header().Set(protocol.HeaderLoad, s.load().Marshal())
	}
}

// refuse answers that the call did not start.
func (s *server) refuse(w http.ResponseWriter, r *http.Request, status int, why string) {
	s.echo(w, r)
	w.Header().Set(protocol.HeaderNotStarted, "true")
	_ = wire.Write(w, status, protocol.Refusal{Error: why, RetryAfter: pipeline.Duration(refusalRetry)})
}

const refusalRetry = 100 * time.Millisecond

// fail answers that the call failed after it had started.
func (s *server) fail(w http.ResponseWriter, r *http.Request, why string) {
	s.echo(w, r)
	_ = wire.Write(w, http.StatusInternalServerError, protocol.Refusal{Error: why})
}
