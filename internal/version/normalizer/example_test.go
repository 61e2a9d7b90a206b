package normalizer_test

import (
	"fmt"

	"dandeliontrack.example/dandeliontrack/internal/version/normalizer"
)

func ExampleNew() {
	inRoute, _ := normalizer.New("Shop.Example")
	inRequest, _ := normalizer.New("shop%2Eexample.:8080")
	fmt.Println(inRoute, inRoute == inRequest)
	_, err := normalizer.New("shop example")
	fmt.Println(err)
	// Output:
	// shop.example true
	// host "shop example": has a character or a percent-encoding that no host name has
}
