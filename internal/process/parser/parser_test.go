package parser_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/parser"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against errors that don't name the line, the wrong field and its correction.
func TestParseErrorsNameLineAndField(t *testing.T) {
	for name, c := range map[string]struct{ raw, want string }{
		"correct":      {"{\"time\": \"5ms\", \"slots\": 3}\n", ""},
		"empty":        {"", "the file is empty: write one JSON object"},
		"ends early":   {"{\"slots\":\n3", "line 2: the JSON object ends early: close every brace, bracket and quote"},
		"syntax":       {"{\n\"slots\": 3,}", "line 2: invalid character '}' looking for beginning of object key string: correct the JSON"},
		"type":         {"{\n\n\"slots\": \"3\"}", "line 3: field \"slots\" is a JSON string: use a value of type int"},
		"unknown":      {"{\n\"slot\": 3}", "line 2: field \"slot\" is unknown: correct its name or remove it"},
		"duration":     {"{\"slots\": 3,\n \"time\": \"5\"}", "line 2: field \"time\": \"5\" is not a duration such as \"1500ms\" or \"60s\": correct the value"},
		"prefix":       {"{\n\"prefix\": \"10.0.0.0/40\"}", "line 2: field \"prefix\": netip.ParsePrefix(\"10.0.0.0/40\"): prefix length out of range: correct the value"},
		"two objects":  {"{}\n{}", "line 2: data after the JSON object: keep one object in a file"},
		"not a number": {"{\"slots\": nan}", "line 1: invalid character 'a' in literal null (expecting 'u'): correct the JSON"},
	} {
		var v struct {
			Time   noter.Duration `json:"time"`
			Slots  int            `json:"slots"`
			Prefix netip.Prefix   `json:"prefix"`
		}
		err := parser.Parse([]byte(c.raw), &v)
		if c.want == "" {
			assert.NilError(t, err, name)
			continue
		}
		assert.Error(t, err, c.want, name)
		assert.Equal(t, classifier.Of(err), classifier.Invalid, name)
	}
}
