// Command dandeliontrack runs and controls the hosts of a global traffic
// steering system.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes the command that the arguments name and returns its exit code.
func run(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("dandeliontrack", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range newCommands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(stderr, err)
			return classifier.Internal.ExitCode()
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	if flagsErr, ok := err.(*flags.Error); ok {
		if flagsErr.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return 0
		}
		fmt.Fprintln(stderr, err)
		return classifier.BadRequest.ExitCode()
	}
	kind := classifier.Of(err)
	fmt.Fprintf(stderr, "dandeliontrack: %s: %v\n", kind, err)
	return kind.ExitCode()
}
