// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package standin implements small stand-ins for the external systems that wingvale uses: the
// configuration service with its host list, the weight store, model engines, stage pools and plain
// services. They implement the published protocols, run small versions of the real jobs, and
// inject faults on request.
package standin
