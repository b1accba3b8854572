package tokens_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

func TestTokenIdentifiesItsIncarnation(t *testing.T) {
	c := qt.New(t)
	index := tokens.NewIndex[string]()
	for i := range 6000 {
		index.Add(fmt.Sprintf("i-%x", i), 1, fmt.Sprint(i))
	}
	for i := range 6000 {
		token := index.TokenFor(fmt.Sprintf("i-%x", i), 1)
		got, ok := index.Find(token)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, fmt.Sprint(i))
	}
	old := index.TokenFor("i-5", 1)
	index.Add("i-5", 2, "restarted")
	c.Check(index.TokenFor("i-5", 2), qt.Not(qt.Equals), old)
	got, _ := index.Find(old)
	c.Check(got, qt.Equals, "5")
	index.Remove("i-5", 1)
	_, ok := index.Find(old)
	c.Check(ok, qt.IsFalse)
}

// collidingIDs returns two IDs whose first candidate tokens are equal.
func collidingIDs() (a, b string) {
	seen := map[tokens.Token]string{}
	for i := 0; ; i++ {
		id := fmt.Sprintf("s-%x", i)
		token := tokens.Candidate(id, 1, 0)
		if other, taken := seen[token]; taken {
			return other, id
		}
		seen[token] = id
	}
}

func TestCollidingServersGetDistinctTokens(t *testing.T) {
	c := qt.New(t)
	x, y := collidingIDs()
	index := tokens.NewIndex[string]()
	index.Add(x, 1, x)
	shared := index.TokenFor(x, 1)
	index.Add(y, 1, y)
	c.Assert(index.TokenFor(x, 1), qt.Not(qt.Equals), index.TokenFor(y, 1))
	for _, id := range []string{x, y} {
		got, _ := index.Find(index.TokenFor(id, 1))
		c.Check(got, qt.Equals, id)
	}
	// The shared token resolves to the same server on every host, independent of
	// the order in which the servers were added.
	other := tokens.NewIndex[string]()
	other.Add(y, 1, y)
	other.Add(x, 1, x)
	first, _ := index.Find(shared)
	second, _ := other.Find(shared)
	c.Check(first, qt.Equals, second)
}
