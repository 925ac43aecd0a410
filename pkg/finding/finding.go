// Package finding collects problems found in settings and records, each with its
// place in the source text.
package finding

import (
	"errors"
	"fmt"
	"sort"
	"strings"
)

// Place is a position in a source text. Line and Column start at 1. A Line of 0
// means that only the source is known.
type Place struct {
	Source string `json:"source"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns the place as source:line:column, or the source alone if the line
// isn't known.
func (p Place) String() string {
	if p.Line == 0 {
		return p.Source
	}
	return fmt.Sprintf("%s:%d:%d", p.Source, p.Line, p.Column)
}

// Finding is one problem at one place.
type Finding struct {
	Place   Place  `json:"place"`
	Message string `json:"message"`
}

// String returns the place and the message in one line.
func (f Finding) String() string {
	return f.Place.String() + ": " + f.Message
}

// List collects findings. The zero value is ready to use.
type List []Finding

// Add appends a finding with a formatted message.
func (l *List) Add(place Place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Sort orders the findings by source, line and column.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i].Place, l[j].Place
		if a.Source != b.Source {
			return a.Source < b.Source
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// Err returns an *Error with the list, or nil if the list is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return &Error{Findings: l}
}

// Error is an error that reports all findings of a check.
type Error struct {
	Findings List
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// From returns the findings of an *Error that err wraps, or one finding with the
// message of err at the given place. It returns nil if err is nil.
func From(err error, place Place) List {
	if err == nil {
		return nil
	}
	var found *Error
	if errors.As(err, &found) {
		return found.Findings
	}
	return List{{Place: place, Message: err.Error()}}
}
