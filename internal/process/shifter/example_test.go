package shifter_test

import (
	"fmt"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/shifter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

func Example() {
	now := time.Now()
	s := shifter.New(now)
	s.Install(new(planner.Plan), now)
	for range 9 {
		fmt.Print(s.Ready(), " ")
		now = now.Add(shifter.Tick)
		s.Step(now)
	}
	fmt.Println(s.Moving())
	// Output: false false false false false false false false true false
}
