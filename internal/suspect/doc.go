// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package suspect identifies harmful requests: those that make backend servers crash, as
// opposed to those that were only on a server when it crashed. A server that stops while it runs
// a request counts as crashed under it, whatever the reason. The package only decides; it does no
// network communication and no logging.
package suspect
