package loader

import (
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Size is a number of bytes. In settings it is written as an integer or as a
// string with a unit, such as "16MiB".
type Size int64

// The units of sizes, in bytes.
const (
	Byte     Size = 1
	Kibibyte      = 1 << 10 * Byte
	Mebibyte      = 1 << 10 * Kibibyte
	Gibibyte      = 1 << 10 * Mebibyte
)

var sizeUnits = []struct {
	suffix string
	size   Size
}{
	{
		suffix: "GiB",
		size:   Gibibyte,
	},
	{
		suffix: "MiB",
		size:   Mebibyte,
	},
	{
		suffix: "KiB",
		size:   Kibibyte,
	},
	{
		suffix: "B",
		size:   Byte,
	},
}

// ParseSize parses a whole number followed by one of the units GiB, MiB, KiB and
// B.
func ParseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 63)
		if err != nil || Size(count) > math.MaxInt64/unit.size {
			return 0, errors.Errorf("size %q is not a whole number of %s", text, unit.suffix)
		}
		return Size(count) * unit.size, nil
	}
	return 0, errors.Errorf("size %q has none of the units GiB, MiB, KiB and B", text)
}

// String returns the size in the largest unit of which it is a whole multiple.
func (sz Size) String() string {
	for _, unit := range sizeUnits {
		if sz != 0 && sz%unit.size == 0 {
			return strconv.FormatInt(int64(sz/unit.size), 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(sz), 10) + "B"
}
