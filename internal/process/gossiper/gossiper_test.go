package gossiper_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/gossiper"
)

// answering is a link on which every host answers at once.
type answering struct{ members []*framer.Member }

func (a answering) Call(context.Context, string, *framer.Envelope) (*framer.Envelope, error) {
	return &framer.Envelope{Members: a.members, Body: &framer.Envelope_Ack{Ack: &framer.Ack{}}}, nil
}

// Guards against a host that leaves while it still probes: both waited with one
// WaitGroup, which the race detector found once in a run of CI beside other work.
func TestLeaveWhileProbing(t *testing.T) {
	others := []*framer.Member{{Name: "b", Address: "b", Incarnation: 1}, {Name: "c", Address: "c", Incarnation: 1}}
	g := gossiper.New(&framer.Member{Name: "a", Address: "a", Incarnation: 1}, answering{others}, func() []string { return []string{"b", "c"} })
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { g.Run(ctx) })
	for ctx.Err() == nil {
		g.Leave(ctx)
	}
	wg.Wait()
}
