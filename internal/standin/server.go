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

// Arrival is a call that a backend server has started to run.
type Arrival struct {
	Request request.ID
	Stage   string
	Attempt int
	// Input is the text of the caller's request.
	Input     string
	StartedAt time.Time
	// Finished reports whether the work is done, even if the caller did not get the result.
	Finished bool
}

// server is the common part of all stand-ins for backend servers.
type server struct {
	*behaviour
	slots    *slots
	instance string

	arrivalsMu sync.Mutex
	arrivals   []*Arrival
}

// Options configure a stand-in for a backend server.
type Options struct {
	Knobs Knobs
	// Slots is the number of calls that run at once.
	Slots int
	// MaxWaiting is how many more calls may wait. Further calls are refused. 0 means
	// unlimited.
	MaxWaiting int
	// Instance is the instance name of this run of the server.
	Instance string
	Seed     uint64
}

func newServer(o Options) *server {
	return &server{behaviour: newBehaviour(o.Knobs, o.Seed), slots: newSlots(o.Slots), instance: o.Instance}
}

// SetKnobs changes the knobs of the server.
func (s *server) SetKnobs(change func(k *Knobs)) {
	s.updateKnobs(change)
}

// Arrivals returns the calls that have started to run, oldest first.
func (s *server) Arrivals() []Arrival {
	s.arrivalsMu.Lock()
	defer s.arrivalsMu.Unlock()
	all := make([]Arrival, 0, len(s.arrivals))
	for _, a := range s.arrivals {
		all = append(all, *a)
	}
	return all
}

// maxArrivals is the number of arrivals that are kept.
const maxArrivals = 1 << 16

func (s *server) recordArrival(c backend.Call, input string) *Arrival {
	a := &Arrival{Request: c.Request, Stage: c.Stage, Attempt: c.Attempt, Input: input, StartedAt: time.Now()}
	s.arrivalsMu.Lock()
	defer s.arrivalsMu.Unlock()
	if len(s.arrivals) >= maxArrivals {
		s.arrivals = s.arrivals[1:]
	}
	s.arrivals = append(s.arrivals, a)
	return a
}

func (s *server) markFinished(a *Arrival) {
	s.arrivalsMu.Lock()
	defer s.arrivalsMu.Unlock()
	a.Finished = true
}

func (s *server) currentLoad() protocol.Load {
	k := s.currentKnobs()
	running, waiting := s.slots.countsAgo(k.ReportLag)
	return protocol.Load{Instance: s.instance, Running: running, Waiting: waiting, Slots: s.slots.size, Leaving: k.Leaving}
}

// parseCall returns the request, stage and attempt of a call from its headers.
func parseCall(r *http.Request) (backend.Call, error) {
	id, err := request.ParseID(r.Header.Get(protocol.HeaderRequest))
	if err != nil {
		return backend.Call{}, err
	}
	attempt, err := strconv.Atoi(r.Header.Get(protocol.HeaderAttempt))
	return backend.Call{Request: id, Stage: r.Header.Get(protocol.HeaderStage), Attempt: attempt}, err
}

// acceptCall returns the name and the body of a call. If it must be refused, acceptCall answers it
// and reports false.
func acceptCall[T any](s *server, w http.ResponseWriter, r *http.Request, maxWaiting int) (backend.Call, T, bool) {
	call, err := parseCall(r)
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest, err.Error())
		return call, *new(T), false
	}
	body, err := wire.ReadLenient[T](r.Body, request.MaxBodyBytes)
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest, err.Error())
		return call, body, false
	}
	k := s.currentKnobs()
	_, waiting := s.slots.countsAgo(0)
	if k.Leaving || s.withProbability(k.RefuseShare) || maxWaiting > 0 && waiting >= maxWaiting {
		s.refuse(w, r, http.StatusServiceUnavailable, "full or leaving")
		return call, body, false
	}
	return call, body, true
}

// setHeaders sets the headers of an answer that name its call, and the one that reports the load.
func (s *server) setHeaders(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{protocol.HeaderRequest, protocol.HeaderStage, protocol.HeaderAttempt} {
		w.Header().Set(name, r.Header.Get(name))
	}
	if !s.currentKnobs().Silent {
		w.Header().Set(protocol.HeaderLoad, s.currentLoad().Marshal())
	}
}

// refuse answers that the call has not started.
func (s *server) refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	s.setHeaders(w, r)
	w.Header().Set(protocol.HeaderNotStarted, "true")
	_ = wire.Write(w, status, protocol.Refusal{Error: reason, RetryAfter: pipeline.Duration(refusalRetryAfter)})
}

const refusalRetryAfter = 100 * time.Millisecond

// fail answers that the call failed after it had started.
func (s *server) fail(w http.ResponseWriter, r *http.Request, reason string) {
	s.setHeaders(w, r)
	_ = wire.Write(w, http.StatusInternalServerError, protocol.Refusal{Error: reason})
}
