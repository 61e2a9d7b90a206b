package classifier_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against a table in docs/errors.md that differs from the reported status, outcome
// and exit code of a kind.
func TestErrorTableMatchesDocs(t *testing.T) {
	raw, err := os.ReadFile("../../docs/errors.md")
	assert.NilError(t, err)
	rows := make(map[string]bool)
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "| `") {
			rows[strings.TrimSpace(line)] = true
		}
	}
	for _, k := range classifier.All() {
		row := fmt.Sprintf("| `%s` | %d | %s | %d | %s |", k, k.Status(), k.Outcome(), k.ExitCode(), k.Meaning())
		assert.Check(t, rows[row], "docs/errors.md lacks: %s", row)
	}
	assert.Equal(t, len(rows), len(classifier.All()))
}

// Guards against an error without a valid kind being reported as not run.
func TestUnclassifiedErrorMayHaveRun(t *testing.T) {
	assert.Equal(t, classifier.Of(fmt.Errorf("no kind")).Outcome(), classifier.MayHaveRun)
	assert.Equal(t, classifier.Kind(200).Outcome(), classifier.MayHaveRun)
	assert.NilError(t, classifier.Failed.Wrap(nil, "nothing"))
}

func Example() {
	err := classifier.Overloaded.New("region %s has no free slot", "bkk")
	kind := classifier.Of(fmt.Errorf("admission: %w", err))
	fmt.Println(kind, kind.Status(), kind.Outcome())
	// Output: overloaded 503 not-run
}
