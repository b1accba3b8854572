package ring_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/ring"
)

// TestBatcherKeepsAllItemsInOrder guards against items that are lost or overtaken where one can't
// be merged.
func TestBatcherKeepsAllItemsInOrder(t *testing.T) {
	c := qt.New(t)
	r := ring.New[string](8)
	b := ring.NewBatcher(r, func(into, item *string) bool {
		if *item == "apart" || *into == "apart" {
			return false
		}
		*into += *item
		return true
	})
	for _, item := range []string{"a", "b", "apart", "apart", "c", "d"} {
		c.Assert(r.Offer(item), qt.IsTrue)
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, want := range []string{"ab", "apart", "apart", "cd"} {
		got, ok := b.Next(ctx)
		c.Assert(ok, qt.IsTrue)
		c.Check(got, qt.Equals, want)
	}
	cancel()
	_, ok := b.Next(ctx)
	c.Check(ok, qt.IsFalse)
}
