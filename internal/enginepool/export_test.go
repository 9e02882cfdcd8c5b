// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package enginepool

import "time"

// Book lets tests drive the pure part of a pool.
type Book struct{ b *book }

// NewBook returns a book of engines.
func NewBook(engines ...Engine) Book {
	b := newBook()
	b.setEngines(engines)
	return Book{b: b}
}

// SetEngines replaces the engines.
func (b Book) SetEngines(engines ...Engine) { b.b.setEngines(engines) }

// Place places a prompt.
func (b Book) Place(now time.Time, p Prompt) Place { return b.b.place(now, p) }

// Report tells how one went.
func (b Book) Report(now time.Time, r Report) { b.b.report(now, r) }
