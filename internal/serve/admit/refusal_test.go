package admit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/serve/admit"
)

func TestRefusalHoldsForItsClassAndTime(t *testing.T) {
	r, urgent, other := admit.NewRefusals[string](), admit.Class{Service: "x"}, admit.Class{Service: "x", Priority: 1}
	r.Remember(100, other, "busy")
	detail, holds := r.Find(119, other)
	qt.Check(t, holds, qt.IsTrue)
	qt.Check(t, detail, qt.Equals, "busy")
	_, holds = r.Find(119, urgent)
	qt.Check(t, holds, qt.IsFalse)
	_, holds = r.Find(120, other)
	qt.Check(t, holds, qt.IsFalse)
	r.Remember(200, other, "busy")
	r.Forget()
	_, holds = r.Find(200, other)
	qt.Check(t, holds, qt.IsFalse)
}
