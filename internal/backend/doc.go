// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package backend speaks to the backend servers: stage pools, plain services
// and model engines. It judges each failure by whether the call may have run,
// and never sends anything twice by itself.
package backend
