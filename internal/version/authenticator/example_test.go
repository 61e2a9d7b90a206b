package authenticator_test

import (
	"fmt"

	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
)

func ExampleAuthenticator_Find() {
	a, err := authenticator.New([]authenticator.Account{
		{Name: "gallery", Keys: []string{"k-1", "k-2"}, Quota: authenticator.Quota{PerSecond: 50, Burst: 20}},
		{Name: "archive", Keys: []string{"k-3"}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	account := a.Find("k-2")
	fmt.Println(account.Name, account.Quota.Limited(), a.Find("k-3").Quota.Limited(), a.Find("k-4"))
	// Output: gallery true false <nil>
}
