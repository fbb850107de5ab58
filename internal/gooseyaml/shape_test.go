package gooseyaml_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
)

// Guards against files that exhaust the parser's stack or take it too long, and against
// bounds that refuse a large but ordinary file.
func TestShape(t *testing.T) {
	t.Parallel()
	list := func(n int) string {
		var b strings.Builder
		b.WriteString("list:\n")
		for i := range n {
			fmt.Fprintf(&b, "  - name: n-%d\n    other: {a: b}\n", i)
		}
		return b.String()
	}
	tests := map[string]struct{ text, want string }{
		"brackets":            {strings.Repeat("[", 1<<20), "f:1: more than 64 levels of brackets"},
		"brackets on lines":   {strings.Repeat("{a:\n", 1<<10), "f:65: more than 64 levels of brackets"},
		"list markers":        {"list:\n" + strings.Repeat("- ", 1<<20), "f:2: indented by more than 256"},
		"list markers, value": {"list:\n" + strings.Repeat("- ", 1<<20) + "x", "f:2: indented by more than 256"},
		"indent":              {"list:\n" + strings.Repeat(" ", 300) + "x", "f:2: indented by more than 256"},
		"names":               {strings.Repeat("a: b\n", 5000), "f:4097: more than 4096 lines in one mapping"},
		"names in an item":    {"list:\n  - a: b\n" + strings.Repeat("    a: b\n", 5000), "f:4098: more than 4096 lines in one mapping"},
		"long list":           {list(20_000), ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var target struct {
				List []struct {
					Name  string            `yaml:"name"`
					Other map[string]string `yaml:"other"`
				} `yaml:"list"`
			}
			err := gooseyaml.Decode("f", []byte(tt.text), &target).Err()
			if (tt.want == "") != (err == nil) || err != nil && !strings.HasPrefix(err.Error(), tt.want) {
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}
