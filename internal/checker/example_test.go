package checker_test

import (
	"fmt"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/checker"
)

func ExampleChecker() {
	c := checker.New(checker.DefaultBounds)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c.Sent(checker.Sent{At: now, ID: "r1", Service: "orderbook", Key: "k", Once: true})
	c.Ran(checker.Ran{At: now, Upstream: "orderbook-1", ID: "r1", Key: "k"})
	c.Answered(checker.Answered{At: now, ID: "r1", Status: 503, Outcome: "not-run", Echo: "r1"})
	c.Finish(now)
	for _, b := range c.Breaches() {
		fmt.Println(b)
	}
	// Output: P4: request r1 was refused as not run with status 503, but ran at [orderbook-1]
}
