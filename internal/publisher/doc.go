// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package publisher reads and watches the platform's configuration service and host list. It has
// no write access.
package publisher
