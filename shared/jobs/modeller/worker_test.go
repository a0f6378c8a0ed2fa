package modeller_test

import (
	"fmt"

	"coltsfootwick.example/shared/jobs/modeller"
)

func ExampleWorker_FencingToken() {
	wk := modeller.Worker{}
	first := wk.FencingToken(42)
	wk.Generation++
	second := wk.FencingToken(42)
	wk.Generation = 0
	fmt.Println(first < second, second < wk.FencingToken(43))
	// Output: true true
}
