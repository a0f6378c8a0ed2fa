package loader

import (
	"encoding"
	"reflect"
	"time"

	"coltsfootwick.example/shared/process/classifier"
)

// tagName is the struct tag that names a field's key.
const tagName = "toml"

// decoder fills wire structs from a document's tree. Unlike the decoder of the
// TOML library, it continues after a fault, so that all faults are reported
// together.
type decoder struct {
	rt *Report
}

func (dr *decoder) decodeRoot(tree map[string]any, target any) {
	dr.decodeStruct(Key{}, tree, reflect.ValueOf(target).Elem())
}

func (dr *decoder) decodePointer(key Key, value, target any) {
	dr.decodeValue(key, value, reflect.ValueOf(target).Elem())
}

func (dr *decoder) decodeValue(key Key, value any, target reflect.Value) {
	switch field := target.Addr().Interface().(type) {
	case *time.Duration:
		dr.decodeDuration(key, value, field)
		return
	case *Size:
		dr.decodeSize(key, value, field)
		return
	case encoding.TextUnmarshaler:
		dr.decodeText(key, value, field)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		pointer := reflect.New(target.Type().Elem())
		dr.decodeValue(key, value, pointer.Elem())
		target.Set(pointer)
	case reflect.Struct:
		dr.decodeStruct(key, value, target)
	case reflect.Map:
		dr.decodeMap(key, value, target)
	case reflect.Slice:
		dr.decodeSlice(key, value, target)
	default:
		dr.decodeScalar(key, value, target)
	}
}

func (dr *decoder) decodeStruct(key Key, value any, target reflect.Value) {
	table, ok := value.(map[string]any)
	if !ok {
		dr.addWrongType(key, value, "a table")
		return
	}
	fields, known := fieldsOf(target.Type())
	for name, child := range table {
		index, ok := fields[name]
		if !ok {
			dr.rt.AddUnknownKey(key.Child(name), known)
			continue
		}
		dr.decodeValue(key.Child(name), child, target.Field(index))
	}
}

// fieldsOf returns the field indexes of a wire struct by key, and the keys in
// the order of the fields.
func fieldsOf(wire reflect.Type) (map[string]int, []string) {
	fields := map[string]int{}
	known := []string{}
	for index := range wire.NumField() {
		name := wire.Field(index).Tag.Get(tagName)
		if name == "" {
			continue
		}
		fields[name] = index
		known = append(known, name)
	}
	return fields, known
}

func (dr *decoder) decodeMap(key Key, value any, target reflect.Value) {
	table, ok := value.(map[string]any)
	if !ok {
		dr.addWrongType(key, value, "a table")
		return
	}
	entries := reflect.MakeMapWithSize(target.Type(), len(table))
	for name, child := range table {
		entry := reflect.New(target.Type().Elem()).Elem()
		dr.decodeValue(key.Child(name), child, entry)
		entries.SetMapIndex(reflect.ValueOf(name), entry)
	}
	target.Set(entries)
}

func (dr *decoder) decodeSlice(key Key, value any, target reflect.Value) {
	array, ok := value.([]any)
	if !ok {
		dr.addWrongType(key, value, "an array")
		return
	}
	elements := reflect.MakeSlice(target.Type(), len(array), len(array))
	for index, child := range array {
		dr.decodeValue(key.element(index), child, elements.Index(index))
	}
	target.Set(elements)
}

func (dr *decoder) decodeDuration(key Key, value any, field *time.Duration) {
	text, ok := value.(string)
	if !ok {
		dr.addWrongType(key, value, `a duration such as "10s"`)
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		dr.rt.Add(classifier.SettingsType, key, "%s is %q, but must be a duration such as \"10s\"", key, text)
		return
	}
	*field = duration
}

func (dr *decoder) decodeSize(key Key, value any, field *Size) {
	switch raw := value.(type) {
	case int64:
		*field = Size(raw)
	case string:
		size, err := ParseSize(raw)
		if err != nil {
			dr.rt.Add(classifier.SettingsType, key, "%s: %v", key, err)
			return
		}
		*field = size
	default:
		dr.addWrongType(key, value, `a size such as "16MiB" or a number of bytes`)
	}
}

func (dr *decoder) decodeText(key Key, value any, field encoding.TextUnmarshaler) {
	text, ok := value.(string)
	if !ok {
		dr.addWrongType(key, value, "a string")
		return
	}
	if err := field.UnmarshalText([]byte(text)); err != nil {
		dr.rt.Add(classifier.SettingsType, key, "%s: %v", key, err)
	}
}
