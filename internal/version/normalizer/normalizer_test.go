package normalizer_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/normalizer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against spellings of one host that are taken for different ones.
func TestSpellingsOfOneHostAreEqual(t *testing.T) {
	for want, spellings := range map[string][]string{
		"shop.example": {
			"shop.example", "Shop.EXAMPLE", "shop.example.", "shop.example:80", "shop.example:", "SHOP.example.:8080",
			"shop%2Eexample", "%53hop.ex%61mple", "sh%6Fp%2eexample%2E:1",
		},
		"my_shop~1.example":     {"my_shop~1.example", "MY%5fshop%7E1.example"},
		"xn--bcher-kva.example": {"bücher.example", "BÜCHER.example", "b%C3%BCcher.example.", "b%c3%bccher.example:80", "XN--BCHER-kva.example", "bücher。example"},
		"a%2fb*.example":        {"a%2Fb*.example", "A%2fB*.Example"},
		"10.0.0.9":              {"10.0.0.9", "10.0.0.9:80", "10%2E0.0.9"},
		"[2001:db8::1]":         {"[2001:db8::1]", "[2001:DB8::1]:443", "[2001:0db8:0:0::0:1]:", "2001:db8::1"},
		"[fe80::1%25eth0]":      {"[fe80::1%25eth0]", "[FE80::1%25eth0]:80"},
		"[v1f.a:b]":             {"[v1f.a:b]", "[V1F.A:B]:80"},
	} {
		for _, spelling := range spellings {
			t.Run(spelling, func(t *testing.T) {
				got, err := normalizer.New(spelling)
				assert.NilError(t, err)
				assert.Equal(t, string(got), want)
			})
		}
	}
}

// Guards against names that are equal though they mean different hosts.
func TestDifferentHostsAreNotEqual(t *testing.T) {
	seen := make(map[normalizer.Name]string)
	for _, host := range []string{"shop.example", "shopexample", "shop.example.org", "a%2Fb", "a+b", "a%2Bb", "xn--shop.example", "10.0.0.1", "[::1]", "[::10.0.0.1]", "[::ffff:10.0.0.1]"} {
		name, err := normalizer.New(host)
		assert.NilError(t, err)
		assert.Equal(t, seen[name], "", "%s", host)
		seen[name] = host
	}
}

// Guards against names that no request can have and that are taken for some host.
func TestMalformedHostsAreErrors(t *testing.T) {
	for _, host := range []string{
		"", ".", "..", "a..", ":80", "a:b", "a:80x", "a b", "a/b", "user@a", "a?b", "a%", "a%2", "a%zz", "a%\x11\x12", "a%ff", "a\x00b", "a\tb",
		"[::1", "[::1]x", "::1]", "[1.2.3.4]", "[]", "[v.a]", "[v1.]", "[v1.a b]", "\u00ad", "a:80:80",
		strings.Repeat("ü", 600),
	} {
		_, err := normalizer.New(host)
		assert.Check(t, classifier.Of(err) == classifier.Invalid, "%q: %v", host, err)
	}
}

// Guards against a Name that is not equal to itself when it is read again.
func FuzzNew(f *testing.F) {
	for _, host := range []string{"shop.example", "B%C3%BCcher.example.:80", "[2001:DB8::1%25a]:1", "[v1.x]", "%2541", "::%25"} {
		f.Add(host)
	}
	f.Fuzz(func(t *testing.T, host string) {
		name, err := normalizer.New(host)
		if err != nil {
			return
		}
		again, err := normalizer.New(string(name))
		assert.NilError(t, err)
		assert.Equal(t, again, name)
	})
}

func BenchmarkNew(b *testing.B) {
	for name, host := range map[string]string{"normal": "shop.example", "capitals": "Shop.Example:8080"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = normalizer.New(host)
			}
		})
	}
}
