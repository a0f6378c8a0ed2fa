package printer

// View is the output of a command: lines and a table for people, and JSON for
// programs.
type View struct {
	// Above are lines before the table.
	Above []string
	// Header names the table's columns. Without a header there is no table.
	Header []string
	// Rows are the table's rows, each as long as the header.
	Rows [][]string
	// Below are lines after the table.
	Below []string
	// Wire is the value that is encoded as JSON.
	Wire any
}
