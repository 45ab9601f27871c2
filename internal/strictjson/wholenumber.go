package strictjson

import (
	"fmt"
	"math"
	"strconv"
)

// WholeNumber is a whole number in a JSON document. JSON doesn't tell whole numbers from
// others, so 2, 2.0 and 20e-1 are the same. Numbers beyond the range of int become the
// nearest int.
type WholeNumber int

// WholeNumberError reports a value that is not a whole number.
type WholeNumberError struct{ Text string }

// Error implements error.
func (e *WholeNumberError) Error() string {
	return fmt.Sprintf("strictjson: %.40s is not a whole number", e.Text)
}

// UnmarshalJSON implements json.Unmarshaler. A null leaves the number unchanged.
func (n *WholeNumber) UnmarshalJSON(data []byte) error {
	text := string(data)
	if text == "null" {
		return nil
	}
	if number, err := strconv.Atoi(text); err == nil {
		*n = WholeNumber(number)
		return nil
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || number != math.Trunc(number) {
		return &WholeNumberError{Text: text}
	}
	*n = nearestInt(number)
	return nil
}

func nearestInt(number float64) WholeNumber {
	switch {
	case number >= math.MaxInt:
		return math.MaxInt
	case number <= math.MinInt:
		return math.MinInt
	}
	return WholeNumber(number)
}
