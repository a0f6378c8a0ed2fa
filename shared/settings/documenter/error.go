package documenter

import (
	"strconv"

	"coltsfootwick.example/shared/process/classifier"
)

// Errors renders a table of the result codes.
func Errors() string {
	var rows [][]string
	for _, dn := range classifier.Descriptions() {
		rows = append(rows, []string{strconv.Itoa(int(dn.Code)), code(dn.Name), dn.Summary, dn.Remedy})
	}
	return table([]string{"code", "name", "what happened", "what to do"}, rows)
}
