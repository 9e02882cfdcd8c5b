// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import (
	"slices"
	"time"

	"github.com/wingvale/wingvale/internal/engineload"
)

// This file handles engines with few slots that differ in speed, under a load of long prompts. A
// prompt that is read on an engine stalls the streams that run there, the longer the slower the
// engine is, so that its placement can make several streams late.

const (
	// speedInterval is the time between two computations of the median pace.
	speedInterval = 200 * time.Millisecond
	// calibrationWindow is the number of prompts whose median ratio of the actual to the
	// expected time of the first event corrects the expectation.
	calibrationWindow = 63
	// maxCalibration bounds that correction.
	maxCalibration = 2.0
	// streamCost is the cost of each stream on an engine: the prompt and the stream wait for each
	// other's steps, and each later prefill stalls both. Without it, prompts concentrate on the
	// fastest engines that have their shared parts cached. It is about the time of a chunk.
	streamCost = 60 * time.Millisecond
	// lostFactor is the cost of a prompt that is lost relative to that of a late one. Without it,
	// silent engines, which run no streams, attract prompts from busy ones.
	lostFactor = 2.0
)

// speeds has what the engines of a scheduler have in common.
type speeds struct {
	medianGap time.Duration
	updatedAt time.Time
	// uneven says that the engines differ in speed. Until then placement uses only the waits for slots
	// and memory of the model: with equal engines at low load the rest spreads prompts over more engines
	// than their homes, and each host then needs more retries when its connections fall silent.
	uneven bool
	// ratios has the ratios of recent prompts, and next the position of the oldest one.
	ratios      []float64
	next        int
	calibration float64
}

// addRatio adds the ratio of the actual to the expected time of one first event, where the
// expectation included the current calibration.
func (s *speeds) addRatio(ratio float64) {
	ratio *= s.factor()
	if len(s.ratios) < calibrationWindow {
		s.ratios = append(s.ratios, ratio)
		return
	}
	s.ratios[s.next] = ratio
	s.next = (s.next + 1) % calibrationWindow
}

// factor returns the correction of expected times, which is 1 before enough prompts are known.
func (s *speeds) factor() float64 {
	if s.calibration == 0 {
		return 1
	}
	return s.calibration
}

// updateSpeeds computes the median pace and the calibration anew, at most once per speedInterval.
func (s *Scheduler) updateSpeeds(now time.Time) {
	if now.Sub(s.speeds.updatedAt) < speedInterval {
		return
	}
	s.speeds.updatedAt = now
	paces := make([]*engineload.Pace, 0, len(s.engines))
	for _, e := range s.engines {
		if e.LoadAware {
			paces = append(paces, &e.pace)
		}
	}
	s.speeds.medianGap = engineload.MedianGap(paces)
	s.speeds.uneven = engineload.Uneven(paces)
	if len(s.speeds.ratios) == calibrationWindow {
		sorted := slices.Clone(s.speeds.ratios)
		slices.Sort(sorted)
		s.speeds.calibration = min(max(sorted[len(sorted)/2], 1/maxCalibration), maxCalibration)
	}
}

// usesModel reports whether placement on an engine uses the load model.
func (s *Scheduler) usesModel(e *engine) bool {
	return e.LoadAware && s.speeds.uneven
}

// speed returns the speed of an engine relative to the median engine.
func (s *Scheduler) speed(e *engine) float64 {
	return e.pace.Speed(s.speeds.medianGap)
}

// Speeds returns the speed of each engine whose pace is known, relative to the median engine.
func (s *Scheduler) Speeds() map[string]float64 {
	known := make(map[string]float64)
	for name, e := range s.engines {
		if e.pace.Gap() > 0 {
			known[name] = s.speed(e)
		}
	}
	return known
}

// LearnPace records the pace of an engine that another host observed, unless the pace is known from
// enough streams here.
func (s *Scheduler) LearnPace(instance string, gap time.Duration) {
	if e := s.engines[instance]; e != nil && e.LoadAware {
		e.pace.Learn(gap)
	}
}

// recordLoad records what a report says about the load of an engine.
func (s *Scheduler) recordLoad(e *engine, r Report) {
	e.load.Remove(r.ID)
	if r.EventGap > 0 {
		e.pace.Record(r.EventGap)
	}
	if r.FirstEventTime > 0 && r.Expected > 0 && !r.Failed {
		s.speeds.addRatio(r.FirstEventTime.Seconds() / r.Expected.Seconds())
	}
}

// expectation is what a prompt is expected to take on an engine.
type expectation struct {
	// wait is the time until its prefill starts. nominal is the time of its prefill, and read the
	// same as the engine has performed recently.
	wait    time.Duration
	nominal time.Duration
	read    time.Duration
}

// expect returns what a prompt is expected to take on an engine.
func (s *Scheduler) expect(now time.Time, e *engine, p Prompt, plan readPlan) expectation {
	x := expectation{wait: max(e.freeAt.Sub(now), 0), nominal: plan.duration(e, p)}
	if s.usesModel(e) {
		read := plan.readTime(p)
		x.nominal += time.Duration(float64(read)*s.speeds.factor()/s.speed(e)) - read
	}
	if e.LoadAware {
		x.wait = max(x.wait, e.load.AdmissionWait(now, e.spec(), p.SharedTokens+p.OwnTokens+p.TokensOut))
	}
	x.read = time.Duration(float64(x.nominal) * e.health.Ratio(now))
	return x
}

// latenessCost returns the cost of requests that are expected to be late because of a placement, the
// prompt's own included.
func (s *Scheduler) latenessCost(now time.Time, e *engine, p Prompt, plan readPlan, x expectation) time.Duration {
	untilFirst := x.wait + x.read + Overhead
	if !s.usesModel(e) {
		if p.TimeLeft > 0 && untilFirst > p.TimeLeft {
			return latePenalty
		}
		return 0
	}
	late := 0.0
	if p.TimeLeft > 0 {
		late = engineload.MissProbability(untilFirst, p.TimeLeft)
	}
	if p.GapLimit > 0 {
		late += engineload.MissProbability(e.pace.Gap(), p.GapLimit)
	}
	late += e.load.StalledStreams(e.spec(), engineload.Read{
		Start: now.Add(x.wait), Duration: x.read, Tokens: plan.missing - plan.copied + p.OwnTokens,
	}, e.pace.Gap())
	// A prompt that is lost on a failing engine is not served at all.
	late += lostFactor * e.health.FailureRate(now)
	return time.Duration(late*float64(latePenalty)) + time.Duration(e.load.Streams(now))*streamCost
}

// addStream records a prompt on an engine whose prefill ends at freeAt.
func (s *Scheduler) addStream(now time.Time, e *engine, p Prompt) {
	e.load.Add(now, e.spec(), engineload.Stream{
		ID: p.ID, Tokens: p.SharedTokens + p.OwnTokens + p.TokensOut, TokensOut: p.TokensOut, GapLimit: p.GapLimit,
	}, e.freeAt, e.pace.Gap())
}

func (e *engine) spec() engineload.Spec {
	return engineload.Spec{Slots: e.Slots, Tokens: e.Tokens, EventTokens: e.EventTokens}
}
