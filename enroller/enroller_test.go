package enroller_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/enroller"
)

func TestScript(t *testing.T) {
	var w strings.Builder
	core := enroller.New()
	for _, e := range []enroller.Event{
		enroller.Wake{},
		enroller.Failed{},
		enroller.Wake{},
		enroller.Granted{Lease: 5},
		enroller.Conflicted{Version: 3},
		enroller.Written{Version: 9},
		enroller.Wake{},
		enroller.Renewed{},
		enroller.Wake{},
		enroller.Failed{},
		enroller.Wake{},
		enroller.Lapsed{},
		enroller.Granted{Lease: 6},
		enroller.Failed{},
		enroller.Wake{},
		enroller.Written{Version: 12},
		enroller.Removed{},
		enroller.Written{Version: 20},
		enroller.Wake{},
	} {
		fmt.Fprintf(&w, "%-24s -> %s\n", name(e), name(core.Step(e)))
	}
	goldie.New(t).Assert(t, "script", []byte(w.String()))
}

func name(v any) string { return strings.TrimPrefix(fmt.Sprintf("%T%+v", v, v), "enroller.") }
