// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package exchange sends a single HTTP/1.1 request to a backend server and reads its
// answer, with full control of the connection: a request is never sent twice, an error
// reports whether a byte may have reached the server, and a connection that carried
// unexpected data is not reused.
//
// It is used instead of net/http's Transport, which resends a request by itself if a kept
// connection turns out to be closed.
package exchange
