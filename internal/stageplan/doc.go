// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package stageplan decides which pieces the next call of a stage server has, in
// which order work of one pool goes, and what is given up. It knows no network and
// no clock: stagepool makes the calls.
package stageplan
