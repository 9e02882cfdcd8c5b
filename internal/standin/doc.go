// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package standin has small stand-ins for the outside systems that wingvale
// meets: the configuration service with its host list, the weight store, model
// engines, stage pools and plain services. They speak the published protocols,
// do the real job in small, and fail on request.
package standin
