package matcher_test

import (
	"fmt"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

func ExampleTable_Match() {
	backends := []matcher.Backend{{Service: "prices", Weight: 1}}
	routes := []matcher.Route{
		{Name: "all", Host: "shop.example", Prefix: "/", Timeout: time.Second, AttemptLimit: 2, Backends: backends},
		{Name: "orders", Host: "shop.example", Prefix: "/orders/", Class: matcher.AtMostOnce, Timeout: time.Second, AttemptLimit: 1, Backends: backends},
	}
	table, err := matcher.New(7, routes, []matcher.Service{{Name: "prices"}}, matcher.Limits{})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(table.Match("shop.example", "/orders/9").Name, table.Match("shop.example", "/list").Name, table.Match("other.example", "/"))
	// Output: orders all <nil>
}
