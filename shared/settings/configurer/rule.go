package configurer

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

// rule specifies the type and the range of a key's value. All its
// implementations are in this file; the comment of each names the type of
// pointer that keySpec.field returns for it.
type rule interface {
	isRule()
}

// integerRule applies to *int.
type integerRule struct {
	least    int
	greatest int
}

// shareRule applies to *float64.
type shareRule struct {
	least    float64
	greatest float64
}

// durationRule applies to *time.Duration.
type durationRule struct {
	least    time.Duration
	greatest time.Duration
}

// sizeRule applies to *int64, in bytes.
type sizeRule struct {
	least    loader.Size
	greatest loader.Size
}

// stringRule applies to *string.
type stringRule struct {
	pattern  *regexp.Regexp
	expected string
}

// boolRule applies to *bool.
type boolRule struct{}

func (integerRule) isRule()  {}
func (shareRule) isRule()    {}
func (durationRule) isRule() {}
func (sizeRule) isRule()     {}
func (stringRule) isRule()   {}
func (boolRule) isRule()     {}

// decodeField decodes a value into field, a pointer of the type that the rule
// requires, and checks its range.
func decodeField(dt *loader.Document, key loader.Key, value any, rl rule, field any, rt *loader.Report) {
	switch rl := rl.(type) {
	case integerRule:
		number := field.(*int)
		dt.DecodeValue(key, value, number, rt)
		loader.Between(rt, *number, rl.least, rl.greatest, key...)
	case shareRule:
		share := field.(*float64)
		dt.DecodeValue(key, value, share, rt)
		loader.Between(rt, *share, rl.least, rl.greatest, key...)
	case durationRule:
		duration := field.(*time.Duration)
		dt.DecodeValue(key, value, duration, rt)
		loader.Between(rt, *duration, rl.least, rl.greatest, key...)
	case sizeRule:
		size := loader.Size(*field.(*int64))
		dt.DecodeValue(key, value, &size, rt)
		loader.Between(rt, size, rl.least, rl.greatest, key...)
		*field.(*int64) = int64(size)
	case stringRule:
		text := field.(*string)
		dt.DecodeValue(key, value, text, rt)
		checkText(key, *text, rl, rt)
	case boolRule:
		dt.DecodeValue(key, value, field, rt)
	}
}

func checkText(key loader.Key, text string, rl stringRule, rt *loader.Report) {
	if !rt.Valid(key...) || rl.pattern.MatchString(text) {
		return
	}
	rt.Add(classifier.SettingsRange, key, "%s is %q, but must be %s", key, text, rl.expected)
}

// formatField returns the value of a field in the notation of the settings,
// without quotes.
func formatField(rl rule, field any) string {
	switch rl.(type) {
	case integerRule:
		return strconv.Itoa(*field.(*int))
	case shareRule:
		return formatShare(*field.(*float64))
	case durationRule:
		return formatDuration(*field.(*time.Duration))
	case sizeRule:
		return loader.Size(*field.(*int64)).String()
	case stringRule:
		return *field.(*string)
	case boolRule:
		return strconv.FormatBool(*field.(*bool))
	}
	return ""
}

func formatShare(share float64) string {
	return strconv.FormatFloat(share, 'g', -1, 64)
}

// formatDuration formats a duration without trailing zero units, such as 2m for
// 2m0s.
func formatDuration(duration time.Duration) string {
	text := duration.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// typeName returns the name of a rule's type for operators.
func typeName(rl rule) string {
	switch rl.(type) {
	case integerRule:
		return "whole number"
	case shareRule:
		return "number"
	case durationRule:
		return "duration"
	case sizeRule:
		return "size"
	case stringRule:
		return "string"
	case boolRule:
		return "boolean"
	}
	return ""
}

// rangeText returns a description of the values that a rule allows.
func rangeText(rl rule) string {
	switch rl := rl.(type) {
	case integerRule:
		return fmt.Sprintf("%d to %d", rl.least, rl.greatest)
	case shareRule:
		return fmt.Sprintf("%s to %s", formatShare(rl.least), formatShare(rl.greatest))
	case durationRule:
		return fmt.Sprintf("%s to %s", formatDuration(rl.least), formatDuration(rl.greatest))
	case sizeRule:
		return fmt.Sprintf("%v to %v", rl.least, rl.greatest)
	case stringRule:
		return rl.expected
	case boolRule:
		return "true, false"
	}
	return ""
}
