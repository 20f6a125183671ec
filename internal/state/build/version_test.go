package build

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestVersionMatchesVersionFile(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../../version.txt")
	is.NoErr(err)
	is.Equal(strings.TrimSpace(string(text)), Version)
}
