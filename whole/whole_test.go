package whole

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/golden"
)

// TestParse guards against spellings of one number that are read as different, and against
// fractions, overflow and text that are read as a whole number.
func TestParse(t *testing.T) {
	var table strings.Builder
	for _, text := range []string{
		"90", "90.0", "9e1", "9E+1", "900e-1", "0.9e2", "90.000e0", "0", "-0", "-0.0", "0e999999999999999999999", "0.000e-9",
		"-90.0", "-9e1", "90.5", "0.9", "9e-1", "1e-999999999999999999999", "1e999999999999999999999", "1e400",
		"9007199254740993.0", "9223372036854775807", "9223372036854775807.0", "9223372036854775808", "1.8446744073709551615e19",
		"18446744073709551616", "184467440737095516150e-1", "1" + strings.Repeat("0", 60) + "e-60",
		"", "+1", "01", "1.", ".5", "1e", "0x10", "1_0", "NaN", "Infinity", "null", `"90"`, "[90]", "true",
	} {
		_, _ = fmt.Fprintf(&table, "%.60s\n", text)
		signed, err := Parse[int64](text)
		_, _ = fmt.Fprintf(&table, "  int64  %s\n", result(signed, err))
		unsigned, err := Parse[uint64](text)
		_, _ = fmt.Fprintf(&table, "  uint64 %s\n", result(unsigned, err))
	}
	golden.Compare(t, "testdata/numbers.golden", table.String())
}

func result(value any, err error) string {
	if err != nil {
		return "error: " + err.Error()
	}
	return fmt.Sprint(value)
}

// TestNumber guards against fields whose null or text is taken for a number.
func TestNumber(t *testing.T) {
	var got struct {
		A, B Number[int]
		C    *Number[int]
	}
	must.NoError(t, json.Unmarshal([]byte(`{"a":2.0,"b":null,"c":null}`), &got))
	test.Eq(t, 2, got.A.Value)
	test.Eq(t, 0, got.B.Value)
	test.Nil(t, got.C)
	test.Error(t, json.Unmarshal([]byte(`{"a":"2"}`), &got))
	text, err := json.Marshal(got.A)
	must.NoError(t, err)
	test.Eq(t, "2", string(text))
}
