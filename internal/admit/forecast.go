// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package admit

import "time"

const (
	// forecastStart and forecastFull are the ratios of the forecast wait to the slack from which
	// some and most requests are refused. They are higher than those for the current waits, as
	// the pools themselves put aside what cannot be in time.
	forecastStart = 0.7
	forecastFull  = 1.1
)

// ForecastShare returns the share of requests to refuse, for the given forecast wait and slack.
func ForecastShare(wait, slack time.Duration) float64 {
	over := wait.Seconds()/slack.Seconds() - forecastStart
	return min(max(over/(forecastFull-forecastStart), 0), maxRefusalShare)
}

// maxQueueTime bounds the forecast for one pool. Without it, a rate close to 0 overflows a duration.
const maxQueueTime = time.Hour

// Pool is the load of the pool of one stage of a chain.
type Pool struct {
	// Wait is how long new work waits there now. Announced is how many pieces requests that are
	// at earlier pools will bring, and Rate how many pieces a second the pool can do.
	Wait      time.Duration
	Announced float64
	Rate      float64
	// Call is how long the request's own call takes.
	Call time.Duration
}

// QueueTime returns how long the pool takes for the work that waits there and that was announced to
// it, at most an hour.
func (p Pool) QueueTime() time.Duration {
	wait := p.Wait
	if p.Rate > 0 {
		wait += time.Duration(min(p.Announced/p.Rate, maxQueueTime.Seconds()) * float64(time.Second))
	}
	return min(wait, maxQueueTime)
}

// Forecast returns how long a request that arrives now will wait in the queues of its chain, whose
// pools are in the order in which it reaches them. A burst fills a later pool only after its requests
// were admitted, so their work is counted before it arrives there; and what a pool does until the
// request arrives is not in its way any more.
func Forecast(chain []Pool) time.Duration {
	var total, reachedAfter time.Duration
	for _, p := range chain {
		wait := max(p.QueueTime()-reachedAfter, 0)
		total += wait
		reachedAfter += wait + p.Call
	}
	return total
}
