// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package published

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Position is a revision of the service in one of its eras. A new era begins when the service has
// lost writes; it then assigns revisions again that it had assigned before, so that revisions
// order only within one era. A service that has no eras is in era 0.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare returns -1, 0 or 1.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsZero reports whether p is before all revisions.
func (p Position) IsZero() bool {
	return p == Position{}
}

// eraSeparator separates the era from the revision in the text form of a position.
const eraSeparator = "."

// String returns the text form: the revision, after the era unless that is 0.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision, 10)
	if p.Era == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era, 10) + eraSeparator + revision
}

// ParsePosition returns the position with a text form that String returned.
func ParsePosition(text string) (Position, error) {
	era, revision, found := strings.Cut(text, eraSeparator)
	if !found {
		era, revision = "0", text
	}
	var p Position
	var err error
	if p.Era, err = strconv.ParseUint(era, 10, 64); err != nil {
		return Position{}, fmt.Errorf("published: era of position %.80q: %w", text, err)
	}
	if p.Revision, err = strconv.ParseUint(revision, 10, 64); err != nil {
		return Position{}, fmt.Errorf("published: revision of position %.80q: %w", text, err)
	}
	return p, nil
}
