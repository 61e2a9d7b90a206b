// Package parser strictly decodes the JSON files that operators write. Its errors name the
// line, the field and how to correct it.
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

// Parse decodes one JSON object into v. Unknown fields, trailing data, values of the wrong
// type and values that v rejects, such as malformed durations, are errors of kind
// Invalid.
func Parse(raw []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return describeError(raw, err, decoder.InputOffset())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return classifier.Invalid.New("line %d: data after the JSON object: keep one object in a file", line(raw, decoder.InputOffset()))
	}
	return nil
}

// line returns the number of the line, counted from 1, that holds the byte at offset. An
// offset outside raw counts as its nearest end.
func line(raw []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(raw)))
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}

// unknownFieldPrefix starts the error of encoding/json for an unknown field, which has no
// type of its own.
const unknownFieldPrefix = "json: unknown field "

// describeError converts an error of encoding/json, found before the offset, into one for
// operators.
func describeError(raw []byte, err error, offset int64) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch text := err.Error(); {
	case errors.Is(err, io.EOF):
		return classifier.Invalid.New("the file is empty: write one JSON object")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return classifier.Invalid.New("line %d: the JSON object ends early: close every brace, bracket and quote", line(raw, int64(len(raw))))
	case errors.As(err, &syntaxErr):
		return classifier.Invalid.New("line %d: %v: correct the JSON", line(raw, syntaxErr.Offset), err)
	case errors.As(err, &typeErr):
		return classifier.Invalid.New("line %d: field %q is a JSON %s: use a value of type %s", line(raw, typeErr.Offset), typeErr.Field, typeErr.Value, typeErr.Type)
	case strings.HasPrefix(text, unknownFieldPrefix):
		field := strings.TrimPrefix(text, unknownFieldPrefix)
		return classifier.Invalid.New("line %d: field %s is unknown: correct its name or remove it", lineOfKey(raw, field, offset), field)
	default:
		field, lineNumber := findKeyOfValue(raw, text)
		return classifier.Invalid.New("line %d: field %q: %s: correct the value", lineNumber, field, text)
	}
}

// lineOfKey returns the line of the first key with the quoted name, or the line of the
// offset if there is none.
func lineOfKey(raw []byte, quoted string, offset int64) int {
	if loc := regexp.MustCompile(regexp.QuoteMeta(quoted) + `\s*:`).FindIndex(raw); loc != nil {
		return line(raw, int64(loc[0]))
	}
	return line(raw, offset)
}

// findKeyOfValue returns the key of the first quoted value in an error text, and its line.
// Errors of values that are decoded from text, such as durations and address prefixes,
// don't name the field.
func findKeyOfValue(raw []byte, text string) (key string, lineNumber int) {
	value := regexp.MustCompile(`"[^"]*"`).FindString(text)
	if value == "" {
		return "", line(raw, 0)
	}
	loc := regexp.MustCompile(`"([^"]*)"\s*:\s*` + regexp.QuoteMeta(value)).FindSubmatchIndex(raw)
	if loc == nil {
		return "", line(raw, 0)
	}
	return string(raw[loc[2]:loc[3]]), line(raw, int64(loc[0]))
}
