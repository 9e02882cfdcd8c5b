// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

// DecodeHeartbeatMembers exposes decodeHeartbeatMembers to tests.
var DecodeHeartbeatMembers = decodeHeartbeatMembers
