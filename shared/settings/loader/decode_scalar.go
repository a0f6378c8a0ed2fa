package loader

import (
	"fmt"
	"reflect"

	"coltsfootwick.example/shared/process/classifier"
)

func (dr *decoder) decodeScalar(key Key, value any, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		text, ok := value.(string)
		if !ok {
			dr.addWrongType(key, value, "a string")
			return
		}
		target.SetString(text)
	case reflect.Bool:
		flag, ok := value.(bool)
		if !ok {
			dr.addWrongType(key, value, "true or false")
			return
		}
		target.SetBool(flag)
	case reflect.Float32, reflect.Float64:
		dr.decodeFloat(key, value, target)
	default:
		dr.decodeInteger(key, value, target)
	}
}

func (dr *decoder) decodeFloat(key Key, value any, target reflect.Value) {
	switch number := value.(type) {
	case float64:
		target.SetFloat(number)
	case int64:
		target.SetFloat(float64(number))
	default:
		dr.addWrongType(key, value, "a number")
	}
}

func (dr *decoder) decodeInteger(key Key, value any, target reflect.Value) {
	number, ok := value.(int64)
	if !ok {
		dr.addWrongType(key, value, "a whole number")
		return
	}
	switch {
	case target.CanInt() && !target.OverflowInt(number):
		target.SetInt(number)
	case target.CanUint() && number >= 0 && !target.OverflowUint(uint64(number)):
		target.SetUint(uint64(number))
	default:
		dr.rt.Add(classifier.SettingsRange, key, "%s is %d, which is out of range", key, number)
	}
}

// addWrongType adds the fault of a value that doesn't have the expected type.
func (dr *decoder) addWrongType(key Key, value any, expected string) {
	dr.rt.Add(classifier.SettingsType, key, "%s is %s, but must be %s", key, typeName(value), expected)
}

// typeName returns the name of the TOML type of a value, with its article.
func typeName(value any) string {
	switch value.(type) {
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "a whole number"
	case float64:
		return "a number with a fraction"
	}
	return fmt.Sprintf("a %T", value)
}
