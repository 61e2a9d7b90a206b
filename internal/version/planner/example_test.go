package planner_test

import (
	"fmt"
	"os"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

func ExamplePlan_Apply() {
	f, err := os.Open("../../../examples/sakdiphong/first.json")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer f.Close()
	note, err := noter.Read(f)
	if err != nil {
		fmt.Println(err)
		return
	}
	plan, err := new(planner.Plan).Apply(note)
	if err != nil {
		fmt.Println(err)
		return
	}
	s := plan.Service("docvault")
	fmt.Println(plan.Version(), s.ClassOf("GET", "/drawings/7"), s.ClassOf("POST", "/drawings"), len(s.Upstreams()))
	_, err = plan.Apply(note)
	fmt.Println(err)
	// Output:
	// 1 download once 12
	// release note "first" is based on version 0, but version 1 is in force: rebase it
}
