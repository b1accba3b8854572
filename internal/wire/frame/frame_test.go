package frame_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

var key = frame.Key("a key that both ends share")

func TestNextRejectsIncompleteReplayedAndOversizedFrames(t *testing.T) {
	c := qt.New(t)
	enc, dec := frame.NewEncoder(key), frame.NewDecoder(key)
	stream := enc.Append(nil, []byte("first"))
	first := bytes.Clone(stream)
	stream = enc.Append(stream, []byte("second"))
	body, size, err := dec.Next(stream)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "first")
	_, _, err = dec.Next(stream[size : len(stream)-1])
	c.Check(err, qt.ErrorIs, frame.ErrShort)
	body, _, err = dec.Next(stream[size:])
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "second")
	_, _, err = dec.Next(first)
	c.Check(err, qt.ErrorIs, frame.ErrBadMAC, qt.Commentf("a frame replayed on the same connection must be rejected"))
	_, _, err = frame.NewDecoder(frame.Key("a different key")).Next(first)
	c.Check(err, qt.ErrorIs, frame.ErrBadMAC)
	_, _, err = frame.NewDecoder(key).Next([]byte{0xff, 0xff, 0xff, 0xff, 0})
	c.Check(err, qt.ErrorIs, frame.ErrTooLarge)
}

func FuzzNext(f *testing.F) {
	f.Add(frame.NewEncoder(key).Append(nil, []byte("body")))
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, size, err := frame.NewDecoder(key).Next(b)
		if err == nil && size > len(b) {
			t.Fatal("Next returned a frame longer than its input")
		}
	})
}
