// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// Options bounds a Table. Zero fields take the defaults.
type Options struct {
	// IDsValid is how long an issued id may be used to start its request.
	IDsValid time.Duration
	// Retain is how long an answer is kept after the request has ended.
	Retain time.Duration
	// MaxRuns bounds the requests kept, running or ended.
	MaxRuns int
	// MaxRetained bounds the bytes of ended answers.
	MaxRetained int
}

// Defaults of Options.
const (
	DefaultIDsValid    = 10 * time.Minute
	DefaultRetain      = 2 * time.Minute
	DefaultMaxRuns     = 1 << 17
	DefaultMaxRetained = 64 << 20
)

// ErrDropped says that the request ended but its answer is no longer kept.
var ErrDropped = errors.New("table: the answer is no longer kept")

// Table is safe for concurrent use.
type Table struct {
	options     Options
	address     netip.AddrPort
	incarnation request.Incarnation
	key         request.Key
	start       time.Time

	mu sync.Mutex
	// sequence is the last one issued.
	sequence uint64
	// runs has every request that started here and whose id might still be
	// used, so that no id can start twice.
	runs map[request.ID]*Run
	// refused has the ids under which nothing may start any more, though they
	// are not in runs: a copy of the request that arrives late must not run
	// after its caller was told what became of it.
	refused map[request.ID]refusal
	// retained counts the bytes of ended answers.
	retained int
	// order has the ended runs, the oldest first.
	order []*Run
}

type refusal struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

// New returns an empty table of a new incarnation of the node at address.
func New(address netip.AddrPort, options Options) *Table {
	options.IDsValid = cmp.Or(options.IDsValid, DefaultIDsValid)
	options.Retain = cmp.Or(options.Retain, DefaultRetain)
	options.MaxRuns = cmp.Or(options.MaxRuns, DefaultMaxRuns)
	options.MaxRetained = cmp.Or(options.MaxRetained, DefaultMaxRetained)
	t := &Table{options: options, address: address, start: time.Now(), runs: make(map[request.ID]*Run), refused: make(map[request.ID]refusal)}
	// crypto/rand.Read never fails: it ends the process instead.
	_, _ = rand.Read(t.key[:])
	var inc [8]byte
	_, _ = rand.Read(inc[:])
	t.incarnation = request.Incarnation(binary.BigEndian.Uint64(inc[:]))
	return t
}

// Incarnation returns the one that this table's ids bear.
func (t *Table) Incarnation() request.Incarnation {
	return t.incarnation
}

// IDsValid returns how long a fresh id may be used.
func (t *Table) IDsValid() time.Duration {
	return t.options.IDsValid
}

// Issue returns count fresh ids. An id costs nothing until it is used.
func (t *Table) Issue(count int) []request.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]request.ID, 0, count)
	for range count {
		t.sequence++
		ids = append(ids, request.Issue(t.key, t.address, t.incarnation, t.sequence, time.Since(t.start)))
	}
	return ids
}

// Issued reports whether this incarnation issued id.
func (t *Table) Issued(id request.ID) bool {
	return id.Issuer == t.address && id.Incarnation == t.incarnation && id.Verify(t.key)
}

// Begin starts the request under an id that this table issued. Where it has
// started before, Begin returns that run and false. It refuses an id that is
// too old: its run may be forgotten, so it must never start.
func (t *Table) Begin(ctx context.Context, id request.ID, spec request.Spec) (*Run, bool, error) {
	if !t.Issued(id) {
		return nil, false, verdict.New(verdict.Unknown, verdict.ReasonBadID, "table: id %s was not issued here", id)
	}
	return t.begin(ctx, id, spec, true)
}

// Adopt starts a repeatable request whose id another incarnation issued, to go
// on with it here. It must never be called for an unrepeatable request. Where
// this node has adopted it before, under the same or a later attempt, Adopt
// returns that run and false.
func (t *Table) Adopt(ctx context.Context, id request.ID, spec request.Spec) (*Run, bool, error) {
	return t.begin(ctx, id, spec, false)
}

func (t *Table) begin(ctx context.Context, id request.ID, spec request.Spec, own bool) (*Run, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.runs[id]; old != nil {
		if !sameWork(old.Spec, spec) {
			return nil, false, verdict.New(verdict.Unknown, verdict.ReasonConflict, "table: id %s was used for another request", id)
		}
		return old, false, nil
	}
	if r, ok := t.refused[id]; ok {
		return nil, false, r.err(id)
	}
	if own && t.expired(id) {
		return nil, false, verdict.New(verdict.Unknown, verdict.ReasonExpiredID, "table: id %s is too old to start", id)
	}
	if len(t.runs)+len(t.refused) >= t.options.MaxRuns {
		return nil, false, verdict.New(verdict.NotRun, verdict.ReasonOverload, "table: %d requests are kept already", len(t.runs)).After(time.Second)
	}
	run := newRun(ctx, id, spec, time.Now())
	t.runs[id] = run
	return run, true, nil
}

func sameWork(a, b request.Spec) bool {
	return a.Workspace == b.Workspace && a.Pipeline == b.Pipeline && a.Input == b.Input && a.Unrepeatable == b.Unrepeatable
}

func (t *Table) expired(id request.ID) bool {
	return time.Since(t.start)-id.Issued > t.options.IDsValid
}

func (r refusal) err(id request.ID) error {
	e := verdict.New(r.verdict, r.reason, "table: id %s was refused before", id)
	e.Settled = r.verdict == verdict.NotRun
	return e
}

// Refuse ends a run that is kept no longer, and refuses its id from now on
// with the given verdict and reason.
func (t *Table) Refuse(run *Run, v verdict.Verdict, reason verdict.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, run.ID)
	t.refused[run.ID] = refusal{verdict: v, reason: reason}
	run.cancel(nil)
}

// Forget removes an adopted run that did not start here, so that it may be
// adopted again.
func (t *Table) Forget(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, run.ID)
	run.cancel(nil)
}

// Find returns the run of an id that this table issued or adopted.
func (t *Table) Find(id request.ID) (*Run, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run := t.runs[id]; run != nil {
		return run, nil
	}
	if !t.Issued(id) {
		return nil, verdict.New(verdict.Unknown, verdict.ReasonBadID, "table: id %s was not issued here", id)
	}
	if r, ok := t.refused[id]; ok {
		return nil, r.err(id)
	}
	if t.expired(id) {
		return nil, verdict.New(verdict.Unknown, verdict.ReasonExpiredID, "table: what became of id %s is no longer kept", id)
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownRequest, "table: id %s has not started", id)
}

// Ended must be called once for each run that has ended.
func (t *Table) Ended(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.cancel(nil)
	run.mu.Lock()
	t.retained += run.size()
	run.mu.Unlock()
	t.order = append(t.order, run)
}

// Sweep drops answers and runs that are past their time.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.order[:0]
	for _, run := range t.order {
		old := now.Sub(run.ended) > t.options.Retain
		if !run.dropped && (old || t.retained > t.options.MaxRetained) && run.Readers() == 0 {
			t.retained -= run.drop()
		}
		if old && (t.expired(run.ID) || !t.Issued(run.ID)) {
			delete(t.runs, run.ID)
			continue
		}
		kept = append(kept, run)
	}
	for id := range t.refused {
		if t.expired(id) {
			delete(t.refused, id)
		}
	}
	clear(t.order[len(kept):])
	t.order = kept
}

// Running returns the runs that have not ended.
func (t *Table) Running() []*Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var running []*Run
	for _, run := range t.runs {
		select {
		case <-run.done:
		default:
			running = append(running, run)
		}
	}
	return running
}

// Readers returns how many callers read answers now.
func (t *Table) Readers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	readers := 0
	for _, run := range t.runs {
		readers += run.Readers()
	}
	return readers
}

// State is what the dump shows of a table.
type State struct {
	Incarnation request.Incarnation `json:"incarnation"`
	Issued      uint64              `json:"issued"`
	Kept        int                 `json:"kept"`
	Refused     int                 `json:"refused"`
	Retained    int                 `json:"retained_bytes"`
	Running     []request.Status    `json:"running"`
}

// State returns at most limit running requests.
func (t *Table) State(limit int) State {
	running := t.Running()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Incarnation: t.incarnation, Issued: t.sequence, Kept: len(t.runs), Refused: len(t.refused), Retained: t.retained}
	for _, run := range running[:min(limit, len(running))] {
		s.Running = append(s.Running, run.Status())
	}
	return s
}
