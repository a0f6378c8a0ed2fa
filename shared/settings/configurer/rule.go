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

// rule is the type and the range of a key's value. Its kinds are sealed in
// this file; the pointer that goes with each kind is named beside it.
type rule interface {
	isRule()
}

// integerRule goes with *int.
type integerRule struct {
	least    int
	greatest int
}

// shareRule goes with *float64.
type shareRule struct {
	least    float64
	greatest float64
}

// durationRule goes with *time.Duration.
type durationRule struct {
	least    time.Duration
	greatest time.Duration
}

// sizeRule goes with *int64, in bytes.
type sizeRule struct {
	least    loader.Size
	greatest loader.Size
}

// textRule goes with *string.
type textRule struct {
	pattern *regexp.Regexp
	wanted  string
}

// flagRule goes with *bool.
type flagRule struct{}

func (integerRule) isRule()  {}
func (shareRule) isRule()    {}
func (durationRule) isRule() {}
func (sizeRule) isRule()     {}
func (textRule) isRule()     {}
func (flagRule) isRule()     {}

// decodeField decodes a value into the field that goes with the rule and
// checks its range.
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
	case textRule:
		text := field.(*string)
		dt.DecodeValue(key, value, text, rt)
		checkText(key, *text, rl, rt)
	case flagRule:
		dt.DecodeValue(key, value, field, rt)
	}
}

func checkText(key loader.Key, text string, rl textRule, rt *loader.Report) {
	if !rt.Valid(key...) || rl.pattern.MatchString(text) {
		return
	}
	rt.Add(classifier.SettingsRange, key, "%s is %q, but must be %s", key, text, rl.wanted)
}

// formatField returns the value of a field as an operator would write it,
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
	case textRule:
		return *field.(*string)
	case flagRule:
		return strconv.FormatBool(*field.(*bool))
	}
	return ""
}

func formatShare(share float64) string {
	return strconv.FormatFloat(share, 'g', -1, 64)
}

// formatDuration returns a duration without trailing zero units, such as 2m
// for 2m0s.
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

// typeName names the type of a rule's values for operators.
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
	case textRule:
		return "string"
	case flagRule:
		return "boolean"
	}
	return ""
}

// rangeText describes the values that a rule allows.
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
	case textRule:
		return rl.wanted
	case flagRule:
		return "true, false"
	}
	return ""
}
