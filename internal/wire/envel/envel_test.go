package envel_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/wire/envel"
)

func TestRequestRoundTripsAndIncompleteEnvelopesAreRejected(t *testing.T) {
	c := qt.New(t)
	want := envel.Request{ID: "r1", Try: 2, Attempt: 3, Idempotent: true, Elapsed: 4, Timeout: 5, Body: []byte("b")}
	got, err := envel.DecodeRequest(envel.EncodeRequest(&want))
	c.Assert(err, qt.IsNil)
	c.Check(*got, qt.DeepEquals, want)
	_, err = envel.DecodeRequest(envel.EncodeRequest(&envel.Request{}))
	c.Check(err, qt.ErrorIs, envel.ErrMalformed)
	_, err = envel.DecodeAnswer(envel.EncodeAnswer(&envel.Answer{ID: "r1"}))
	c.Check(err, qt.ErrorIs, envel.ErrMalformed)
}

func FuzzDecode(f *testing.F) {
	f.Add(envel.EncodeRequest(&envel.Request{ID: "r1", Body: []byte("b")}))
	f.Add(envel.EncodeAnswer(&envel.Answer{ID: "r1", Outcome: envel.Answered}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = envel.DecodeRequest(b)
		_, _ = envel.DecodeAnswer(b)
	})
}
