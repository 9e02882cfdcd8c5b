// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether the work behind an error or an answer ran.
//
// The zero value is Unknown, so that a missing verdict never claims more than is known.
type Verdict int

const (
	// Unknown means that the work may have run, in part or completely.
	Unknown Verdict = iota
	// NotRun means that no part of the work ran or will run.
	NotRun
	// Ran means that the work ran to completion.
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

// MarshalText returns the wire form of v. It never fails.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText parses the wire form and rejects any other text.
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

// Reasons that callers may receive. The documentation for callers explains each of them.
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

// Error is an error with a verdict.
type Error struct {
	// Verdict states whether the work may have run.
	Verdict Verdict
	// Reason is the machine-readable cause. It is never empty.
	Reason Reason
	// RetryAfter is how long to wait before a retry; 0 gives no advice.
	RetryAfter time.Duration
	// Settled is set if the error comes from the issuer of the request's id and nothing will
	// ever run under this id, not even a copy of the request that is still in transit. It
	// implies NotRun.
	Settled bool
	// Err is the underlying error, or nil.
	Err error
}

// New returns an Error with the given verdict, reason and message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Err: fmt.Errorf(format, args...)}
}

// Error returns the reason, the verdict and the message.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// Of returns the verdict of err: that of the outermost Error in its chain, Unknown if there is
// none, and Ran for nil.
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

// As returns the outermost Error in err's chain. An error without a verdict is wrapped as
// Unknown and ReasonInternal, and nil remains nil.
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

// AfterSend returns err as an Error for work of which an earlier part has already been sent:
// NotRun becomes Unknown unless it is settled, and all else is unchanged.
func AfterSend(err error) *Error {
	e := As(err)
	if e == nil || e.Verdict != NotRun || e.Settled {
		return e
	}
	copied := *e
	copied.Verdict = Unknown
	return &copied
}
