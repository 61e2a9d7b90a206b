// Package parser decodes the JSON files that operators write. It is strict, and
// its errors name the field, the place and the remedy.
package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"regexp"
	"strings"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Parse decodes one JSON object into v. Unknown fields, trailing data, wrong
// types and wrong durations are errors of kind Invalid.
func Parse(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return explain(raw, err, dec.InputOffset())
	}
	if _, err := dec.Token(); err != io.EOF {
		return classifier.Invalid.New("line %d: data after the JSON object: keep one object in a file", line(raw, dec.InputOffset()))
	}
	return nil
}

// line returns the number of the line that holds a byte.
func line(raw []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(raw)))
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}

const unknownField = "json: unknown field "

func explain(raw []byte, err error, offset int64) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch text := err.Error(); {
	case errors.Is(err, io.EOF):
		return classifier.Invalid.New("the file is empty: write one JSON object")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return classifier.Invalid.New("line %d: the JSON object ends early: close every brace, bracket and quote", line(raw, int64(len(raw))))
	case errors.As(err, &syntax):
		return classifier.Invalid.New("line %d: %v: correct the JSON", line(raw, syntax.Offset), err)
	case errors.As(err, &kind):
		return classifier.Invalid.New("line %d: field %q is a JSON %s: use a value of type %s", line(raw, kind.Offset), kind.Field, kind.Value, kind.Type)
	case strings.HasPrefix(text, unknownField):
		field := strings.TrimPrefix(text, unknownField)
		return classifier.Invalid.New("line %d: field %s is unknown: correct its name or remove it", lineOf(raw, field, offset), field)
	default:
		field, at := owner(raw, text)
		return classifier.Invalid.New("line %d: field %q: %s: correct the value", at, field, text)
	}
}

// lineOf returns the line of the first key with this quoted name, or of the
// offset.
func lineOf(raw []byte, quoted string, offset int64) int {
	if at := regexp.MustCompile(regexp.QuoteMeta(quoted) + `\s*:`).FindIndex(raw); at != nil {
		return line(raw, int64(at[0]))
	}
	return line(raw, offset)
}

// owner returns the key of the value that an error starts with, and its line.
// Errors of text values, such as durations and prefixes, don't name the field.
func owner(raw []byte, text string) (key string, at int) {
	value := regexp.MustCompile(`"[^"]*"`).FindString(text)
	if value == "" {
		return "", line(raw, 0)
	}
	m := regexp.MustCompile(`"([^"]*)"\s*:\s*` + regexp.QuoteMeta(value)).FindSubmatchIndex(raw)
	if m == nil {
		return "", line(raw, 0)
	}
	return string(raw[m[2]:m[3]]), line(raw, int64(m[0]))
}
