// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

// MembersOf is membersOf.
var MembersOf = membersOf
