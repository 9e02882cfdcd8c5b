// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"
)

// maxMilliseconds is the longest time in a line that is accepted. No request takes that long.
const maxMilliseconds = 1e9

// endLine is the last line of a request. Its times are in milliseconds.
type endLine struct {
	Message       string   `json:"msg"`
	Time          string   `json:"time"`
	Outcome       string   `json:"outcome"`
	Error         string   `json:"error"`
	Route         string   `json:"route"`
	Workspace     string   `json:"workspace"`
	Zone          string   `json:"zone"`
	Server        string   `json:"server"`
	EngineSpeed   float64  `json:"engine_speed"`
	ObjectiveTime float64  `json:"objective_ms"`
	FirstTime     float64  `json:"first_ms"`
	StagesTime    float64  `json:"stages_ms"`
	LongestGap    float64  `json:"longest_gap_ms"`
	GapLimit      float64  `json:"gap_limit_ms"`
	StageTimes    []string `json:"stage_times"`

	// stages are the parsed StageTimes.
	stages []stageTimes
	at     time.Time
}

// stageTimes are the times of one stage in milliseconds. Room is part of Queue.
type stageTimes struct {
	pool                     string
	total, queue, call, room float64
}

// lineKind says what a line of a log holds.
type lineKind int

const (
	lineUnreadable lineKind = iota
	lineOther
	lineEnd
)

// parseEndLine parses one line of a log with an optional prefix. Only the last line of a request
// is decoded; any other one is checked to hold a JSON object.
func parseEndLine(text []byte) (endLine, lineKind) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return endLine{}, lineUnreadable
	}
	text = text[start:]
	if !json.Valid(text) {
		return endLine{}, lineUnreadable
	}
	if !bytes.Contains(text, []byte(endMessage)) {
		return endLine{}, lineOther
	}
	var l endLine
	err := json.Unmarshal(text, &l)
	if l.Message != endMessage {
		return endLine{}, lineOther
	}
	if err != nil || !l.validate() {
		return endLine{}, lineUnreadable
	}
	return l, lineEnd
}

// validate parses the texts in the line and reports whether all values are in range.
func (l *endLine) validate() bool {
	at, err := time.Parse(timeLayout, l.Time)
	if err != nil || l.Outcome == "" {
		return false
	}
	l.at = at
	for _, ms := range []float64{l.ObjectiveTime, l.FirstTime, l.StagesTime, l.LongestGap, l.GapLimit, l.EngineSpeed} {
		if ms < 0 || ms > maxMilliseconds {
			return false
		}
	}
	for _, text := range l.StageTimes {
		s, ok := parseStageTimes(text)
		if !ok {
			return false
		}
		l.stages = append(l.stages, s)
	}
	return true
}

// parseStageTimes parses the text "POOL TOTAL/QUEUE/CALL/ROOM".
func parseStageTimes(text string) (stageTimes, bool) {
	pool, times, found := strings.Cut(text, " ")
	parts := strings.Split(times, "/")
	if !found || pool == "" || len(parts) != 4 {
		return stageTimes{}, false
	}
	var values [4]float64
	for i, part := range parts {
		ms, err := strconv.ParseUint(part, 10, 32)
		if err != nil || ms > maxMilliseconds {
			return stageTimes{}, false
		}
		values[i] = float64(ms)
	}
	return stageTimes{pool: pool, total: values[0], queue: values[1], call: values[2], room: values[3]}, true
}

// result classifies how a request ended for its caller.
type result int

const (
	resultInTime result = iota
	// resultLateFirst means that the first event came after the objective, resultLateGap that
	// it came in time but a later gap exceeded the limit.
	resultLateFirst
	resultLateGap
	// resultRefused means that the request did not run, resultFailed that it may have run.
	resultRefused
	resultFailed
	resultCut
	// resultLeft means that the caller disconnected.
	resultLeft
	resultCount
)

// result returns how the request ended for its caller.
func (l *endLine) result() result {
	switch l.Outcome {
	case "answered":
	case "cut":
		return resultCut
	case "left":
		return resultLeft
	default:
		if strings.HasPrefix(l.Error, l.Outcome+" (not_run)") {
			return resultRefused
		}
		return resultFailed
	}
	switch {
	case l.ObjectiveTime > 0 && l.FirstTime > l.ObjectiveTime:
		return resultLateFirst
	case l.GapLimit > 0 && l.LongestGap > l.GapLimit:
		return resultLateGap
	default:
		return resultInTime
	}
}
