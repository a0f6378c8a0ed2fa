package loader

import (
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// locator records the line of each key of a source that is known to be valid.
// The library's decoder gives positions only for its own errors, so the lines
// come from its syntax tree.
type locator struct {
	parser   unstable.Parser
	starts   []int // offset of each line
	lines    map[string]int
	elements map[string]int // length of each array of tables
}

func locate(source []byte) map[string]int {
	lr := &locator{
		starts:   lineStarts(source),
		lines:    map[string]int{},
		elements: map[string]int{},
	}
	lr.parser.Reset(source)
	table := Key{}
	for lr.parser.NextExpression() {
		node := lr.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = lr.locateKey(Key{}, node)
		case unstable.ArrayTable:
			array := lr.locateKey(Key{}, node)
			name := array.String()
			table = array.element(lr.elements[name])
			lr.lines[table.String()] = lr.lines[name]
			lr.elements[name]++
		case unstable.KeyValue:
			lr.locatePair(table, node)
		}
	}
	return lr.lines
}

// lineStarts returns the offset of each line.
func lineStarts(source []byte) []int {
	starts := []int{0}
	for offset, char := range source {
		if char == '\n' {
			starts = append(starts, offset+1)
		}
	}
	return starts
}

// lineOf returns the line, from 1, of an offset. The parser's own way counts
// the lines before it each time.
func (lr *locator) lineOf(offset int) int { return sort.SearchInts(lr.starts, offset+1) }

// locateKey records the parts of a node's key, each at the line of its first
// mention, and returns the whole key. A part that names an array of tables
// stands for the array's last element, unless it is the header's last part.
func (lr *locator) locateKey(above Key, node *unstable.Node) Key {
	key := above
	parts := node.Key()
	for parts.Next() {
		part := parts.Node()
		key = key.Child(string(part.Data))
		name := key.String()
		line := lr.lineOf(int(part.Raw.Offset))
		if _, ok := lr.lines[name]; !ok {
			lr.lines[name] = line
		}
		if length := lr.elements[name]; length > 0 && !parts.IsLast() {
			key = key.element(length - 1)
		}
	}
	return key
}

func (lr *locator) locatePair(above Key, node *unstable.Node) {
	key := lr.locateKey(above, node)
	lr.locateValue(key, node.Value())
}

func (lr *locator) locateValue(key Key, node *unstable.Node) {
	switch node.Kind {
	case unstable.InlineTable:
		pairs := node.Children()
		for pairs.Next() {
			lr.locatePair(key, pairs.Node())
		}
	case unstable.Array:
		lr.locateElements(key, node)
	}
}

func (lr *locator) locateElements(key Key, node *unstable.Node) {
	elements := node.Children()
	index := 0
	for elements.Next() {
		lr.locateValue(key.element(index), elements.Node())
		index++
	}
}
