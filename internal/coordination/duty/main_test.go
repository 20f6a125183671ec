package duty

import (
	"testing"

	"lagoongw/test/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
