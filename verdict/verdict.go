// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells whether the work behind an error or an answer ran.
//
// The zero value is Unknown, so that a forgotten verdict never claims more
// than is known.
type Verdict int

const (
	// Unknown means that the work may have run, in part or whole.
	Unknown Verdict = iota
	// NotRun means that no part of the work ran, and none will.
	NotRun
	// Ran means that the work ran to its end.
	Ran
)

const (
	textUnknown = "unknown"
	textNotRun  = "not_run"
	textRan     = "ran"
)

// String returns the wire form of v: "unknown", "not_run" or "ran".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return textNotRun
	case Ran:
		return textRan
	default:
		return textUnknown
	}
}

// MarshalText returns the wire form of v and never fails.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText reads the wire form and refuses any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case textUnknown:
		*v = Unknown
	case textNotRun:
		*v = NotRun
	case textRan:
		*v = Ran
	default:
		return fmt.Errorf("verdict: %q is none of %q, %q, %q", text, textUnknown, textNotRun, textRan)
	}
	return nil
}

// Reason is a machine-readable cause, stable across releases.
type Reason string

// Reasons that callers may meet. The callers' page lists what each one means.
const (
	ReasonInternal          Reason = "internal"
	ReasonBadRequest        Reason = "bad_request"
	ReasonTooLarge          Reason = "too_large"
	ReasonNoWorkspace       Reason = "no_workspace"
	ReasonNoPipeline        Reason = "no_pipeline"
	ReasonNeedID            Reason = "need_id"
	ReasonBadID             Reason = "bad_id"
	ReasonExpiredID         Reason = "expired_id"
	ReasonIssuerGone        Reason = "issuer_gone"
	ReasonIssuerUnreachable Reason = "issuer_unreachable"
	ReasonUnknownRequest    Reason = "unknown_request"
	ReasonConflict          Reason = "conflict"
	ReasonNotReady          Reason = "not_ready"
	ReasonLeaving           Reason = "leaving"
	ReasonOverload          Reason = "overload"
	ReasonDeadline          Reason = "deadline"
	ReasonCancelled         Reason = "cancelled"
	ReasonNoServer          Reason = "no_server"
	ReasonServerFailed      Reason = "server_failed"
	ReasonRefused           Reason = "refused"
	ReasonBadAnswer         Reason = "bad_answer"
	ReasonConnection        Reason = "connection"
)

// Error is an error that bears a verdict.
type Error struct {
	// Verdict says whether the work may have run.
	Verdict Verdict
	// Reason is the machine-readable cause and is never empty.
	Reason Reason
	// RetryAfter is how long to wait before the next try; 0 says nothing.
	RetryAfter time.Duration
	// Settled says that the issuer of a request's id speaks, and that nothing
	// will ever run under the id, not even a copy of the request that is still
	// on its way. It implies NotRun.
	Settled bool
	// Err is the cause in words and may be nil.
	Err error
}

// New returns an Error with the given verdict, reason and message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Err: fmt.Errorf(format, args...)}
}

// Error returns the message with its verdict.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// After returns a copy of e that asks the caller to come back after d.
func (e *Error) After(d time.Duration) *Error {
	again := *e
	again.RetryAfter = d
	return &again
}

// Of returns the verdict of err: that of the outermost Error in its chain,
// Unknown where there is none, and Ran for nil.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return Unknown
}

// As returns the Error in err's chain. An error that bears no verdict comes
// back as Unknown and internal, and nil stays nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: Unknown, Reason: ReasonInternal, Err: err}
}

// AfterSend returns err as it reads for work of which an earlier part was
// already sent: NotRun becomes Unknown unless it is settled, everything else
// stays.
func AfterSend(err error) *Error {
	e := As(err)
	if e == nil || e.Verdict != NotRun || e.Settled {
		return e
	}
	again := *e
	again.Verdict = Unknown
	return &again
}
