// Command dandeliontrack runs and controls the hosts of a global traffic
// steering system.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func main() {
	parser := flags.NewNamedParser("dandeliontrack", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(classifier.Internal.Exit())
		}
	}
	os.Exit(exitCode(parser))
}

func exitCode(parser *flags.Parser) int {
	_, err := parser.Parse()
	if err == nil {
		return 0
	}
	if flagsErr, ok := err.(*flags.Error); ok {
		if flagsErr.Type == flags.ErrHelp {
			fmt.Println(err)
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return classifier.BadRequest.Exit()
	}
	kind := classifier.Of(err)
	fmt.Fprintf(os.Stderr, "dandeliontrack: %s: %v\n", kind, err)
	return kind.Exit()
}
