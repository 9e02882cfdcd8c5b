// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package engineload

import (
	"slices"
	"time"
)

const (
	// chunkTokens is how many tokens of a prompt an engine reads between two decode steps.
	chunkTokens = 2048
	// defaultGap stands for the pace of an engine while it is unknown.
	defaultGap = 25 * time.Millisecond
	// slowFactor is how much slower an engine may be for a moment than its pace says, as it
	// shares its host with others.
	slowFactor = 2.5
	// certainRatio is the ratio of an expected time to its limit from which the limit counts as
	// missed for certain. It exceeds 1 since the expectation has an error.
	certainRatio = 1.1
	// lengthSlack is how many times its expected length a stream is taken to run at most if no
	// report says that it has ended.
	lengthSlack = 2
	// maxEvents and maxLength bound the expected length of a stream, which a caller's statement
	// determines: a far too large one must not keep an engine occupied for hours if the report
	// of its end is lost.
	maxEvents = 1 << 20
	maxLength = 2 * time.Minute
	// maxStreams bounds the streams that are tracked for an engine.
	maxStreams = 256
)

// Spec describes the engines of a service.
type Spec struct {
	// Slots is the number of requests that run at once, Tokens the size of the memory, and
	// EventTokens the number of tokens in an event; 0 means unknown.
	Slots       int
	Tokens      int
	EventTokens int
}

// Stream is a prompt that was placed on an engine, and the stream that answers it.
type Stream struct {
	// ID identifies the stream in Remove; 0 means that nothing refers to it.
	ID uint64
	// Tokens is the memory that the prompt and its answer take, in tokens, and TokensOut the
	// expected size of the answer.
	Tokens    int
	TokensOut int
	// GapLimit is the longest gap between events that counts as in time; 0 means none.
	GapLimit time.Duration
}

// run is a stream in progress.
type run struct {
	Stream
	// firstAt is when its first event is expected, and endsAt its last one. It is forgotten at
	// expiresAt.
	firstAt   time.Time
	endsAt    time.Time
	expiresAt time.Time
}

// Load is what an engine is working on. The zero value is an idle engine. It is not safe for
// concurrent use.
type Load struct {
	runs []run
}

// Read is the prefill of a prompt.
type Read struct {
	// Start is when it begins, Duration how long it takes, and Tokens how many tokens it reads.
	Start    time.Time
	Duration time.Duration
	Tokens   int
}

// Add records a stream whose first event is expected at firstAt. Gap is the engine's pace, 0 if it
// is unknown.
func (l *Load) Add(now time.Time, spec Spec, s Stream, firstAt time.Time, gap time.Duration) {
	l.expire(now)
	if len(l.runs) >= maxStreams {
		l.runs = slices.Delete(l.runs, 0, 1)
	}
	if spec.Tokens > 0 {
		// The size that a caller states may exceed the memory, of which a stream occupies all at most.
		s.Tokens = min(s.Tokens, spec.Tokens)
	}
	events := 1
	if spec.EventTokens > 0 {
		events = max((s.TokensOut-1)/spec.EventTokens+1, 1)
	}
	length := min(time.Duration(min(events, maxEvents))*known(gap), maxLength)
	l.runs = append(l.runs, run{Stream: s, firstAt: firstAt, endsAt: firstAt.Add(length), expiresAt: firstAt.Add(lengthSlack*length + time.Second)})
}

// Remove forgets a stream that has ended.
func (l *Load) Remove(id uint64) {
	if id == 0 {
		return
	}
	l.runs = slices.DeleteFunc(l.runs, func(r run) bool { return r.ID == id })
}

// Streams returns the number of streams in progress, those included that wait for their prefill.
func (l *Load) Streams(now time.Time) int {
	l.expire(now)
	return len(l.runs)
}

func (l *Load) expire(now time.Time) {
	l.runs = slices.DeleteFunc(l.runs, func(r run) bool { return now.After(r.expiresAt) })
}

// StalledStreams returns how many more of the streams are expected to miss their gap limit because of
// the prefill of another prompt, as a sum of probabilities. Those that miss it without the prefill
// do not count.
func (l *Load) StalledStreams(spec Spec, read Read, gap time.Duration) float64 {
	if read.Tokens <= 0 || read.Duration <= 0 {
		return 0
	}
	step := known(gap)
	stall := stallTime(spec, read) + step
	end := read.Start.Add(read.Duration)
	sum := 0.0
	for _, r := range l.runs {
		if r.GapLimit <= 0 || !r.firstAt.Before(end) || !r.endsAt.After(read.Start) {
			continue
		}
		sum += MissProbability(stall, r.GapLimit) - MissProbability(step, r.GapLimit)
	}
	return sum
}

// stallTime returns how much longer the gap between two events becomes during a prefill. Each decode
// step waits for one chunk, and an event needs as many steps as it has tokens.
func stallTime(spec Spec, read Read) time.Duration {
	chunks := (read.Tokens + chunkTokens - 1) / chunkTokens
	return read.Duration * time.Duration(min(chunks, max(spec.EventTokens, 1))) / time.Duration(chunks)
}

// MissProbability returns the probability that something that is expected to take a time takes
// longer than its limit.
func MissProbability(expected, limit time.Duration) float64 {
	ratio := expected.Seconds() / limit.Seconds()
	return min(max((ratio-1/slowFactor)/(certainRatio-1/slowFactor), 0), 1)
}

// AdmissionWait returns how long a prompt waits for a free slot and for memory, by the expected ends
// of the streams in progress.
func (l *Load) AdmissionWait(now time.Time, spec Spec, tokens int) time.Duration {
	l.expire(now)
	used := 0
	for _, r := range l.runs {
		used += r.Tokens
	}
	over := len(l.runs) + 1 - spec.Slots
	if spec.Tokens > 0 {
		// Otherwise a prompt beyond the memory would not fit an idle engine either.
		tokens = min(tokens, spec.Tokens)
	}
	fits := func(freed, freedTokens int) bool {
		return (spec.Slots <= 0 || freed >= over) && (spec.Tokens <= 0 || used-freedTokens+tokens <= spec.Tokens)
	}
	if fits(0, 0) || len(l.runs) == 0 {
		return 0
	}
	ends := slices.Clone(l.runs)
	slices.SortFunc(ends, func(a, b run) int { return a.endsAt.Compare(b.endsAt) })
	freedTokens := 0
	for i, r := range ends {
		freedTokens += r.Tokens
		if fits(i+1, freedTokens) {
			return max(r.endsAt.Sub(now), 0)
		}
	}
	return max(ends[len(ends)-1].endsAt.Sub(now), 0)
}

func known(gap time.Duration) time.Duration {
	if gap == 0 {
		return defaultGap
	}
	return gap
}
