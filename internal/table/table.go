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

// Options configures the limits of a Table. Zero fields take the defaults.
type Options struct {
	// IDsValid is how long after its issue an id may be used to start a request.
	IDsValid time.Duration
	// Retain is how long an answer is retained after the request has ended.
	Retain time.Duration
	// MaxRuns is the most requests in the table, running, ended or refused.
	MaxRuns int
	// MaxRetained is the most bytes of ended answers that are retained.
	MaxRetained int
}

// Defaults of Options.
const (
	DefaultIDsValid    = 10 * time.Minute
	DefaultRetain      = 2 * time.Minute
	DefaultMaxRuns     = 1 << 17
	DefaultMaxRetained = 64 << 20
)

// ErrDropped is returned by Run.Next if the request has ended and its answer has been
// discarded.
var ErrDropped = errors.New("table: answer is no longer retained")

// Table holds the requests of one node and issues their ids. It is safe for concurrent use.
type Table struct {
	options     Options
	address     netip.AddrPort
	incarnation request.Incarnation
	key         request.Key
	createdAt   time.Time

	mu sync.Mutex
	// sequence is the last sequence number issued.
	sequence uint64
	// runs holds every request that started here and whose id might still be used, so that
	// no id can start twice.
	runs map[request.ID]*Run
	// refused holds the ids that are not in runs but must not start any more. A copy of the
	// request that arrives late must not run after its caller got the outcome.
	refused map[request.ID]refusal
	// retainedBytes is the size of the ended answers, in bytes.
	retainedBytes int
	// endedRuns holds the ended runs, the oldest first.
	endedRuns []*Run
}

// refusal is the outcome that is returned for a refused id.
type refusal struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

// New returns an empty table for a new incarnation of the node at address.
func New(address netip.AddrPort, options Options) *Table {
	options.IDsValid = cmp.Or(options.IDsValid, DefaultIDsValid)
	options.Retain = cmp.Or(options.Retain, DefaultRetain)
	options.MaxRuns = cmp.Or(options.MaxRuns, DefaultMaxRuns)
	options.MaxRetained = cmp.Or(options.MaxRetained, DefaultMaxRetained)
	t := &Table{options: options, address: address, createdAt: time.Now(), runs: make(map[request.ID]*Run), refused: make(map[request.ID]refusal)}
	// crypto/rand.Read never returns an error; it ends the process instead.
	_, _ = rand.Read(t.key[:])
	var incarnationBytes [8]byte
	_, _ = rand.Read(incarnationBytes[:])
	t.incarnation = request.Incarnation(binary.BigEndian.Uint64(incarnationBytes[:]))
	return t
}

// Incarnation returns the incarnation of the node, which is part of each id.
func (t *Table) Incarnation() request.Incarnation {
	return t.incarnation
}

// IDsValid returns how long after its issue an id may be used.
func (t *Table) IDsValid() time.Duration {
	return t.options.IDsValid
}

// Issue returns count new ids. An id takes no memory in the table until it is used.
func (t *Table) Issue(count int) []request.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]request.ID, 0, count)
	for range count {
		t.sequence++
		ids = append(ids, request.IssueID(t.key, t.address, t.incarnation, t.sequence, time.Since(t.createdAt)))
	}
	return ids
}

// Issued reports whether this incarnation issued id.
func (t *Table) Issued(id request.ID) bool {
	return id.Issuer == t.address && id.Incarnation == t.incarnation && id.Verify(t.key)
}

// Begin starts a request under an id that this table issued. If the id has started before,
// Begin returns that run and false. It rejects an expired id: its run may already have been
// removed from the table, so it must not start again.
func (t *Table) Begin(ctx context.Context, id request.ID, spec request.Spec) (*Run, bool, error) {
	if !t.Issued(id) {
		return nil, false, verdict.New(verdict.Unknown, verdict.ReasonBadID, "table: id %s was not issued here", id)
	}
	return t.startRun(ctx, id, spec, true)
}

// Adopt starts a repeatable request whose id another incarnation issued, to continue it on
// this node. It must never be called for an unrepeatable request. If this node has adopted
// the request before, under the same or a later attempt, Adopt returns that run and false.
func (t *Table) Adopt(ctx context.Context, id request.ID, spec request.Spec) (*Run, bool, error) {
	return t.startRun(ctx, id, spec, false)
}

// startRun starts a request unless its id has started before. Only ids issued by this table
// expire; issuedHere says that the id is one of them.
func (t *Table) startRun(ctx context.Context, id request.ID, spec request.Spec, issuedHere bool) (*Run, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.runs[id]; old != nil {
		if !sameRequest(old.Spec, spec) {
			return nil, false, verdict.New(verdict.Unknown, verdict.ReasonConflict, "table: id %s was used for another request", id)
		}
		return old, false, nil
	}
	if r, ok := t.refused[id]; ok {
		return nil, false, r.err(id)
	}
	if issuedHere && t.expired(id) {
		return nil, false, verdict.New(verdict.Unknown, verdict.ReasonExpiredID, "table: id %s is too old to start", id)
	}
	if len(t.runs)+len(t.refused) >= t.options.MaxRuns {
		return nil, false, verdict.New(verdict.NotRun, verdict.ReasonOverload, "table: %d requests are kept already", len(t.runs)).WithRetryAfter(time.Second)
	}
	run := newRun(ctx, id, spec, time.Now())
	t.runs[id] = run
	return run, true, nil
}

func sameRequest(a, b request.Spec) bool {
	return a.Workspace == b.Workspace && a.Pipeline == b.Pipeline && a.Input == b.Input && a.Unrepeatable == b.Unrepeatable
}

func (t *Table) expired(id request.ID) bool {
	return time.Since(t.createdAt)-id.IssueOffset > t.options.IDsValid
}

func (r refusal) err(id request.ID) error {
	e := verdict.New(r.verdict, r.reason, "table: id %s was refused before", id)
	e.Settled = r.verdict == verdict.NotRun
	return e
}

// Refuse cancels a run and removes it. From then on its id is refused with the given verdict
// and reason.
func (t *Table) Refuse(run *Run, v verdict.Verdict, reason verdict.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, run.ID)
	t.refused[run.ID] = refusal{verdict: v, reason: reason}
	run.cancel(nil)
}

// Forget cancels and removes an adopted run that did not start here, so that it may be
// adopted again.
func (t *Table) Forget(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, run.ID)
	run.cancel(nil)
}

// Find returns the run of an id that this table issued or adopted. The error says what is
// known of the request otherwise.
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

// MarkEnded releases the context of a run and starts the retention of its answer. It must be
// called once for each run that has ended.
func (t *Table) MarkEnded(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.cancel(nil)
	run.mu.Lock()
	t.retainedBytes += run.answerSize()
	run.mu.Unlock()
	t.endedRuns = append(t.endedRuns, run)
}

// Sweep discards answers that are past their retention or over MaxRetained and have no
// readers, and removes runs and refusals whose ids have expired.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.endedRuns[:0]
	for _, run := range t.endedRuns {
		old := now.Sub(run.endedAt) > t.options.Retain
		if !run.discarded && (old || t.retainedBytes > t.options.MaxRetained) && run.Readers() == 0 {
			t.retainedBytes -= run.discardAnswer()
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
	clear(t.endedRuns[len(kept):])
	t.endedRuns = kept
}

// Running returns the runs that have not ended, in no particular order.
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

// Readers returns how many callers are reading answers.
func (t *Table) Readers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	readers := 0
	for _, run := range t.runs {
		readers += run.Readers()
	}
	return readers
}

// State is the state of a table in the diagnostic dump.
type State struct {
	Incarnation request.Incarnation `json:"incarnation"`
	Issued      uint64              `json:"issued"`
	Kept        int                 `json:"kept"`
	Refused     int                 `json:"refused"`
	Retained    int                 `json:"retained_bytes"`
	Running     []request.Status    `json:"running"`
}

// State returns the state of the table with at most limit running requests.
func (t *Table) State(limit int) State {
	running := t.Running()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{Incarnation: t.incarnation, Issued: t.sequence, Kept: len(t.runs), Refused: len(t.refused), Retained: t.retainedBytes}
	for _, run := range running[:min(limit, len(running))] {
		s.Running = append(s.Running, run.Status())
	}
	return s
}
