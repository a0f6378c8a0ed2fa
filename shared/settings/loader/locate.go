package loader

import (
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// locator finds the line of each key of a valid source. The decoder of the TOML
// library reports positions only in its errors, so the locator uses the syntax
// tree.
type locator struct {
	parser       unstable.Parser
	starts       []int // offset of each line
	lines        map[string]int
	arrayLengths map[string]int // length of each array of tables
}

// locate returns the line of each key of a valid source.
func locate(source []byte) map[string]int {
	lr := &locator{
		starts:       lineStarts(source),
		lines:        map[string]int{},
		arrayLengths: map[string]int{},
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
			table = array.element(lr.arrayLengths[name])
			lr.lines[table.String()] = lr.lines[name]
			lr.arrayLengths[name]++
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

// lineOf returns the line, from 1, of an offset. The parser's own method counts
// all preceding lines on each call.
func (lr *locator) lineOf(offset int) int { return sort.SearchInts(lr.starts, offset+1) }

// locateKey records the line of the first occurrence of each part of a node's
// key and returns the whole key. A part that names an array of tables denotes
// the array's last element, unless it is the last part of a header.
func (lr *locator) locateKey(parent Key, node *unstable.Node) Key {
	key := parent
	parts := node.Key()
	for parts.Next() {
		part := parts.Node()
		key = key.Child(string(part.Data))
		name := key.String()
		line := lr.lineOf(int(part.Raw.Offset))
		if _, ok := lr.lines[name]; !ok {
			lr.lines[name] = line
		}
		if length := lr.arrayLengths[name]; length > 0 && !parts.IsLast() {
			key = key.element(length - 1)
		}
	}
	return key
}

func (lr *locator) locatePair(parent Key, node *unstable.Node) {
	key := lr.locateKey(parent, node)
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
