package dandeliontrack_test

// The imports keep libraries in go.mod that the design page names and that the
// packages under way use.
import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/hashicorp/yamux"
	_ "golang.org/x/net/http/httpguts"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/term"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
