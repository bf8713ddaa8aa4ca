package quarantine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against the loss of all holds of the stored document because one of them is odd; the next
// write would remove them from the store too.
func TestOddHoldCostsNoOtherHold(t *testing.T) {
	sound := `"000000000000002a":{"decided_unix_ms":5,"until_unix_ms":9,"length_ms":4}`
	for _, odd := range []string{
		`"000000000000002b":null`, `"000000000000002b":[]`, `"000000000000002b":"x"`, `"000000000000002b":7`,
		`"000000000000002b":{"until_unix_ms":1e999}`, `"000000000000002b":{"decided_unix_ms":1.5}`,
		`"000000000000002b":{"part":{}}`, `"000000000000002b":{"trials":4e30}`, `"000000000000002b":{"evidence":"x"}`,
		`"":{}`, `"zz":{}`, `"1000000000000002a0":{}`,
	} {
		for _, text := range []string{fmt.Sprintf("{%s,%s}", odd, sound), fmt.Sprintf("{%s,%s}", sound, odd)} {
			is := is.New(t)
			holds, _ := parseDocument([]byte(text))
			found := false
			for _, hold := range holds {
				found = found || hold == Hold{Fingerprint: 0x2a, Decided: 5, Until: 9, Length: 4}
			}
			if !found {
				t.Errorf("%s: the sound hold is lost", text)
			}
			is.True(len(holds) <= 2)
		}
	}
}
