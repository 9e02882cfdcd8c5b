// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package client is a client for wingvale nodes. It fetches the addresses to use and caches
// them, sends requests under ids that nodes have issued, resumes interrupted answers, and
// continues repeatable requests on other nodes. An error says whether the request may have
// run.
package client
