// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package exchange sends one HTTP/1.1 request to a backend server and reads its
// answer, with full control of the connection: nothing is ever sent twice, a
// failure says whether a byte may have reached the server, and a connection
// that carried anything unexpected is not used again.
//
// It exists beside net/http's Transport because that one sends a request again
// by itself when a kept connection dies.
package exchange
