// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/verdict"
)

// maxHandoverTries limits the hosts to which one request is handed over.
const maxHandoverTries = 3

// errIsolated means that this host reaches no backend server to send the request to.
var errIsolated = errors.New("relay: this host reaches no backend server")

// Handover hands requests over to other hosts.
type Handover interface {
	// Wanted reports whether this host reaches no backend server, but knows a host that does.
	Wanted() bool
	// HandOver hands a request over to one host, which writes its answer to sink.
	HandOver(ctx context.Context, h Handoff, sink Sink) HandoffResult
}

// Handoff is a request to be handed over.
type Handoff struct {
	*Request
	// TakeRetry takes a retry for a request that may have run so many times, and reports whether it may
	// run again. It is nil if the request must not.
	TakeRetry func(runs int) bool
	// Except has the hosts that were tried before.
	Except []netip.AddrPort
}

// HandoffResult is the outcome of handing a request over to one host.
type HandoffResult struct {
	// Host is the host that was chosen; the zero value means that there was none.
	Host netip.AddrPort
	// Runs is the maximum number of times that the request has run so far on all hosts.
	Runs int
	// Started reports whether the sink was started, and RetryTaken whether a retry was taken.
	Started    bool
	RetryTaken bool
	// Broken reports whether Err is a failure of the connection between the hosts. Otherwise
	// Err is the error that the other host returned.
	Broken bool
	// Err is nil if the answer is complete, ErrCut if it is not, and a *verdict.Error if there
	// is none.
	Err error
}

// shouldHandOver reports whether the request should be handed over to another host instead of
// being sent to a backend server.
func (j *job) shouldHandOver() bool {
	h := j.core.options.Handover
	return h != nil && !j.Forwarded && !j.staysHere && h.Wanted()
}

// checkIsolated returns errIsolated if the request should be handed over and may be: its answer
// has not started, or can be resumed.
func (j *job) checkIsolated() error {
	if (j.firstByteDuration == 0 || j.route.Resumable) && j.shouldHandOver() {
		return errIsolated
	}
	return nil
}

// checkBeforeSend returns the error for a request that must not be sent to a backend server by
// this host.
func (j *job) checkBeforeSend() error {
	if err := j.checkIsolated(); err != nil {
		return err
	}
	return j.checkDrainBeforeSend()
}

// serve serves the request here, or hands it over.
func (j *job) serve(ctx context.Context, sink Sink) error {
	if !j.shouldHandOver() {
		err := j.serveHere(ctx, sink)
		if !j.mayHandOverAfter(ctx, err) {
			return err
		}
	}
	j.handedOver = true
	resumed := j.firstByteDuration > 0
	err := j.handOver(ctx, &handoverSink{Sink: sink, job: j, resumed: resumed})
	if err != nil && resumed && !errors.Is(err, ErrDisconnected) {
		return ErrCut
	}
	if !errors.Is(err, errIsolated) {
		return err
	}
	// No other host took it, so this one tries even if it has little hope.
	j.handedOver, j.staysHere = false, true
	return j.serveHere(ctx, sink)
}

func (j *job) serveHere(ctx context.Context, sink Sink) error {
	if j.route.Stream {
		return j.serveStream(ctx, sink)
	}
	return j.servePlain(ctx, sink)
}

// mayHandOverAfter reports whether a request that this host failed to serve may be handed over:
// it lost the backend servers meanwhile, and may run again.
func (j *job) mayHandOverAfter(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || errors.Is(err, ErrCut) || errors.Is(err, ErrDisconnected) {
		return false
	}
	if errors.Is(err, errIsolated) {
		return true
	}
	switch v := verdict.As(err); {
	case v.Verdict == verdict.Ran || j.firstByteDuration > 0 || !j.shouldHandOver():
		return false
	case j.possibleRuns() > 0:
		return j.mayRunAgain()
	default:
		return v.Reason == verdict.ReasonNoServer || v.Reason == verdict.ReasonOverload || v.Reason == verdict.ReasonConnection
	}
}

// mayRunAgain reports whether a request that may have run may run once more, and takes a retry
// from the budget if so.
func (j *job) mayRunAgain() bool {
	return j.mayRepeat() && j.takeRetry(j.possibleRuns())
}

// takeRetry takes a retry from the budget for a request that may have run so many times, if it may run again.
func (j *job) takeRetry(runs int) bool {
	return runs < j.route.MaxAttempts && j.core.retries.tryTake(j.service.Name)
}

func (j *job) mayRepeat() bool {
	return j.route.Repeatable || j.route.Stream && j.route.Resumable
}

// handOver hands the request over to one host after the other until one takes it. The error is
// errIsolated if none did.
func (j *job) handOver(ctx context.Context, sink *handoverSink) error {
	var tried []netip.AddrPort
	for {
		request := *j.Request
		request.Runs, request.Counted, request.LastEvent = j.possibleRuns(), j.counted, j.lastEvent
		request.Version = j.originToHandOver()
		handoff := Handoff{Request: &request, Except: tried}
		if j.mayRepeat() {
			handoff.TakeRetry = j.takeRetry
		}
		result := j.core.options.Handover.HandOver(ctx, handoff, sink)
		j.setPossibleRuns(result.Runs)
		if result.Err == nil && sink.refused {
			return ErrCut
		}
		if result.Err == nil {
			return nil
		}
		if err := j.contextError(ctx); err != nil {
			if result.Started && !errors.Is(err, ErrDisconnected) {
				return ErrCut
			}
			return err
		}
		if result.Started {
			return ErrCut
		}
		if !result.Host.IsValid() && verdict.As(result.Err).Reason == verdict.ReasonNoServer && j.possibleRuns() == 0 {
			return errIsolated
		}
		tried = append(tried, result.Host)
		if len(tried) == maxHandoverTries || !j.mayTryNextHost(result) {
			return j.handoverError(result)
		}
	}
}

// mayTryNextHost reports whether another host may take the request after result.
func (j *job) mayTryNextHost(result HandoffResult) bool {
	v := verdict.As(result.Err)
	switch {
	case !result.Host.IsValid():
		return false
	case v.Verdict == verdict.NotRun && result.Broken:
		return true
	case v.Verdict == verdict.NotRun:
		return v.Reason == verdict.ReasonLeaving || v.Reason == verdict.ReasonNotReady || v.Reason == verdict.ReasonNoServer
	default:
		// A host that answered has decided itself whether to run the request again.
		return result.Broken && (result.RetryTaken || j.mayRunAgain())
	}
}

// handoverError returns the final error. What one host did not run, an earlier one may have.
func (j *job) handoverError(result HandoffResult) error {
	v := verdict.As(result.Err)
	if j.possibleRuns() > 0 {
		v = verdict.AfterSend(v)
	}
	if v.Verdict == verdict.NotRun && v.RetryAfter == 0 {
		v = v.WithRetryAfter(fullRetryAfter)
	}
	return v
}

// setPossibleRuns records how often the request may have run on all hosts.
func (j *job) setPossibleRuns(runs int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.possibleRunCount = max(j.possibleRunCount, runs)
}

// countForRetries adds the request to the retry budget of the host that sends it to backend
// servers, once on all hosts.
func (j *job) countForRetries() {
	if j.counted || j.shouldHandOver() {
		return
	}
	j.counted = true
	j.core.retries.recordRequest(j.service.Name)
}

// recordHandover adds to the log line of a request that it was handed over.
func (j *job) recordHandover(fields logrus.Fields) {
	if j.handedOver {
		fields["handed_over"] = true
	}
}

// handoverSink forwards an answer from another host.
type handoverSink struct {
	Sink
	job *job
	// resumed means that the caller has received the head and the first events of the stream.
	resumed bool
	// refused means that the other host could not resume the stream.
	refused bool
}

// OmitEnd makes the answer end with its connection. No series of events needs that.
func (s *handoverSink) OmitEnd() {
	if s.resumed {
		s.refused = true
		return
	}
	s.Sink.OmitEnd()
}

// Start forwards the head, unless the caller has received one.
func (s *handoverSink) Start(status int, header http.Header) {
	if s.resumed {
		s.refused = s.refused || status != http.StatusOK || !isEventStream(header)
		return
	}
	s.job.firstByteDuration = time.Since(s.job.Arrived)
	s.Sink.Start(status, header)
}

// Write forwards part of the body.
func (s *handoverSink) Write(part []byte) error {
	if s.refused {
		return ErrCut
	}
	return s.Sink.Write(part)
}
