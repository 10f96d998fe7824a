// Package jayjson decodes lists of JSON only as far as they can be valid: an empty element
// costs two bytes in a body and a hundred times as much once it is decoded.
package jayjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"
)

// TooManyError reports a list with more elements than it can have.
type TooManyError struct {
	What string
	Most int
}

// Error implements error.
func (e *TooManyError) Error() string { return fmt.Sprintf("more than %d %s", e.Most, e.What) }

// CheckCount returns a TooManyError if a valid list has more elements than most; what names them.
func CheckCount(b []byte, what string, most int) error {
	if Count(b, most) > most {
		return &TooManyError{What: what, Most: most}
	}
	return nil
}

// Count returns the number of elements of a valid list, or more than most if there are more.
func Count(b []byte, most int) int {
	count := 0
	for range Elements(b) {
		if count++; count > most {
			break
		}
	}
	return count
}

// DecodeAtMost decodes a valid list unless it has more elements than most.
func DecodeAtMost[T any](b []byte, what string, most int, list *[]T) error {
	if err := CheckCount(b, what, most); err != nil {
		return err
	}
	return json.Unmarshal(b, list)
}

// Elements returns the elements of a valid list, without the space around them. What is no list has none.
func Elements(b []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		b := bytes.TrimSpace(b)
		if len(b) < 2 || b[0] != '[' {
			return
		}
		start, depth, inString := 1, 0, false
		for i := 1; i < len(b); i++ {
			switch c := b[i]; {
			case inString && c == '\\':
				i++
			case c == '"':
				inString = !inString
			case inString:
			case depth == 0 && (c == ',' || c == ']'):
				if element := bytes.TrimSpace(b[start:i]); len(element) > 0 && !yield(element) {
					return
				}
				start = i + 1
			case c == '[' || c == '{':
				depth++
			case c == ']' || c == '}':
				depth--
			}
		}
	}
}
