// Package whole decodes whole numbers from JSON.
//
// JSON has one kind of number: 90, 90.0, 9e1 and 900E-1 are the same. Package encoding/json
// decodes only the first of them into an integer, and programs of other languages write the
// others. This package accepts each spelling of a whole number, and refuses fractions and
// numbers that the type cannot hold.
//
// # Usage
//
//	var route struct {
//		Attempts whole.Number[int] `json:"attempts"`
//	}
//	err := json.Unmarshal([]byte(`{"attempts":2.0}`), &route) // route.Attempts.Value is 2
//
//	n, err := whole.Parse[uint64]("53e1") // 530
package whole

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
)

// Integer is a type that a Number can have.
type Integer interface {
	~int | ~int64 | ~uint64
}

// Number is a field that holds a whole number. Null and an absent field leave it 0.
type Number[T Integer] struct{ Value T }

// UnmarshalJSON implements json.Unmarshaler.
func (n *Number[T]) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	value, err := Parse[T](string(data))
	if err == nil {
		n.Value = value
	}
	return err
}

// MarshalJSON implements json.Marshaler.
func (n Number[T]) MarshalJSON() ([]byte, error) { return fmt.Append(nil, n.Value), nil }

// syntax matches a JSON number: sign, digits before the point, digits after it, exponent.
var syntax = regexp.MustCompile(`^(-?)(0|[1-9][0-9]*)(?:\.([0-9]+))?(?:[eE]([+-]?[0-9]+))?$`)

// maxDigits is the number of digits of the largest value of an Integer.
const maxDigits = 20

// Parse returns the whole number that a JSON number spells.
func Parse[T Integer](text string) (T, error) {
	if digits := strings.TrimPrefix(text, "-"); digits != "" && digits[0] >= '1' && digits[0] <= '9' {
		if value, err := parseDigits[T](text, text); err == nil {
			return value, nil // the usual spelling
		}
	}
	parts := syntax.FindStringSubmatch(text)
	if parts == nil {
		return 0, fmt.Errorf("%.40q is not a number", text)
	}
	sign, digits, exponent := parts[1], parts[2]+parts[3], -len(parts[3])
	trimmed := strings.TrimRight(digits, "0")
	exponent += len(digits) - len(trimmed)
	trimmed = strings.TrimLeft(trimmed, "0")
	if trimmed == "" {
		return 0, nil
	}
	if parts[4] != "" {
		power, err := strconv.Atoi(parts[4])
		if err != nil || power < -len(text)-maxDigits || power > len(text)+maxDigits {
			power = len(text) + maxDigits + 1 // more than the digits can make up for
			if parts[4][0] == '-' {
				power = -power
			}
		}
		exponent += power
	}
	switch {
	case exponent < 0:
		return 0, fmt.Errorf("%.40q is not a whole number", text)
	case len(trimmed)+exponent > maxDigits:
		return 0, errRange[T](text)
	}
	return parseDigits[T](sign+trimmed+strings.Repeat("0", exponent), text)
}

// parseDigits parses a sign and digits. The error quotes the text that they come from.
func parseDigits[T Integer](digits, text string) (T, error) {
	if kind := reflect.TypeFor[T]().Kind(); kind == reflect.Uint64 {
		n, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			return 0, errRange[T](text)
		}
		return T(n), nil
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || int64(T(n)) != n {
		return 0, errRange[T](text)
	}
	return T(n), nil
}

func errRange[T Integer](text string) error {
	return fmt.Errorf("the number %.40s is out of range of %s", text, reflect.TypeFor[T]().Kind())
}
