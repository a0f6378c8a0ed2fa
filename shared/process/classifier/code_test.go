package classifier_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"coltsfootwick.example/shared/process/classifier"
)

func ExampleNew() {
	err := classifier.New(classifier.QueueFull, "service %s", "claims")
	fmt.Println(err)
	// Output: 201 queueFull: service claims
}

func TestDescriptionsAreUnique(t *testing.T) {
	numbers := map[classifier.Code]bool{}
	names := map[string]bool{}
	for _, dn := range classifier.Descriptions() {
		must.False(t, numbers[dn.Code], must.Sprintf("duplicate number %d", int(dn.Code)))
		must.False(t, names[dn.Name], must.Sprintf("duplicate name %s", dn.Name))
		must.StrHasSuffix(t, ".", dn.Summary)
		must.StrHasSuffix(t, ".", dn.Remedy)
		numbers[dn.Code] = true
		names[dn.Name] = true
	}
}
