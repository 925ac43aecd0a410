package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strings"
)

// conversation is the prompt for the messages of a request. They are decoded one by one: many short ones
// take up to 40 times the memory of their text if they are held together.
type conversation struct {
	prompt strings.Builder
	count  int
	// takeRoom takes the room for a prompt of a length. It may be nil.
	takeRoom func(length int) error
}

// UnmarshalJSON reads an array of messages.
func (c *conversation) UnmarshalJSON(data []byte) error {
	return eachElement(data, func(element []byte) error {
		var m Message
		if err := json.Unmarshal(element, &m); err != nil {
			// The offset of the error is that in the message.
			return fmt.Errorf("messages[%d]: %v", c.count, err) //nolint:errorlint // See above.
		}
		return c.add(&m)
	})
}

// add adds a message to the prompt.
func (c *conversation) add(m *Message) error {
	c.count++
	if c.takeRoom != nil {
		if err := c.takeRoom(c.prompt.Len() + encodedBytes(m)); err != nil {
			return err
		}
	}
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	c.prompt.Write(text)
	c.prompt.WriteByte('\n')
	return nil
}

// encodedBytes returns about how many bytes a message has in the prompt.
func encodedBytes(m *Message) int {
	const envelope, escape = len(`{"role":"","content":""}`) + 1, len(`\u0000`)
	n := envelope + len(m.Role) + len(m.Content)
	for i := range len(m.Content) {
		if b := m.Content[i]; b < ' ' || b == '<' || b == '>' || b == '&' {
			n += escape - 1
		}
	}
	return n
}

// promptCopies is how often a prompt is held beyond the length of the body from which it was decoded: in
// buffers that double, and in the request to the target.
const promptCopies = 4

// promptRoom returns a function that takes the room for a prompt which is longer than its body, see TakeRoom.
func promptRoom(r *http.Request, bodyBytes int) func(length int) error {
	return func(length int) error {
		if length <= bodyBytes {
			return nil
		}
		return TakeRoom(r, promptCopies*int64(length-bodyBytes))
	}
}

// eachElement calls f with each element of a valid JSON array until f returns an error. Null has no element.
// Unlike a json.Decoder, it copies no element.
func eachElement(data []byte, f func(element []byte) error) error {
	if string(data) == "null" {
		return nil
	}
	if len(data) == 0 || data[0] != '[' {
		return &json.UnmarshalTypeError{Value: "value", Type: reflect.TypeFor[[]any](), Offset: -1}
	}
	for rest := trimSeparators(data[1:]); len(rest) > 0 && rest[0] != ']'; {
		n := valueLength(rest)
		if n == 0 {
			return errors.New("array is cut off")
		}
		if err := f(rest[:n]); err != nil {
			return err
		}
		rest = trimSeparators(rest[n:])
	}
	return nil
}

func isSeparator(b byte) bool { return b == ',' || b == ' ' || b == '\t' || b == '\n' || b == '\r' }

func trimSeparators(data []byte) []byte {
	for len(data) > 0 && isSeparator(data[0]) {
		data = data[1:]
	}
	return data
}

// valueLength returns the length of the JSON value with which valid data begins.
func valueLength(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth < 0 {
			return i // A number or a word that ends with the array.
		}
		if depth == 0 && (i+1 >= len(data) || endsValue(data[i], data[i+1])) {
			return i + 1
		}
	}
	return len(data)
}

// endsValue reports whether a value ends between two bytes that are in no array, object or string.
func endsValue(last, next byte) bool {
	return last == '"' || last == ']' || last == '}' || isSeparator(next) || next == ']'
}
