// Command 6 loses a control machine half a second after another one, whose successor has had
// its time, was removed.
package main

import (
	"errors"
	"net/http"
	"time"

	"monsooncleat.example/monsooncleat/review/stage"
)

const (
	// syncTime is sync_s: a new machine counts as lost for this time after its start.
	syncTime = 4 * time.Second
	// gap is the time between the removal of the replaced machine and the loss.
	gap = 500 * time.Millisecond
	// recoveryTime is recovery_s.
	recoveryTime = 12 * time.Second
)

func main() { stage.Main(3, 1, play) }

func play(s *stage.Stage, trouble bool) error {
	if _, err := s.Configure(stage.Config(1)); err != nil {
		return err
	}
	if _, err := s.AddDirectory(); err != nil {
		return err
	}
	// Twice the time after which the new machine no longer counts as lost.
	time.Sleep(2 * syncTime)
	if _, err := s.Configure(stage.Config(2)); err != nil {
		return err
	}
	old := s.Leader()
	if old == nil {
		return errors.New("no leader is known")
	}
	if err := old.RemoveForGood(); err != nil {
		return err
	}
	if trouble {
		time.Sleep(gap)
		if err := s.Alive()[0].RemoveForGood(); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if _, err := s.AddDirectory(); err != nil {
			return err
		}
	}
	time.Sleep(syncTime + recoveryTime)
	// The operator asks for the configuration for longer than contact_ms.
	for end := time.Now().Add(3 * stage.ContactTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, d := range s.Alive() {
			status, answer := s.Call(http.MethodGet, d.API("/config"), nil, time.Second)
			s.Record.Log("read at %s: status %d, %d bytes", d.Name, status, len(answer))
			if status != http.StatusOK {
				continue
			}
			if string(answer) != string(stage.Config(2)) {
				s.Record.Broken("CONFIG", "the configuration read back is not version 2: %s", answer)
			}
			return nil
		}
	}
	s.Record.Broken("CONFIG", "version 2, which was acknowledged, doesn't come at any machine")
	return nil
}
