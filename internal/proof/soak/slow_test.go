package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// minSlowAnswer and maxSlowAnswer bound the time that a slow server takes for a request.
	// The least is longer than a client waits before its first retransmission.
	minSlowAnswer = 300 * time.Millisecond
	maxSlowAnswer = 2 * time.Second
	// minSlowTime and maxSlowTime bound the time for which a server is slow. The most is that
	// of a drain and the longest claim after it.
	minSlowTime = 2 * time.Second
	maxSlowTime = 6 * time.Second
	// slowClients is the number of clients on long flows beside the others, so that more than
	// one sends to a slow server through one relay.
	slowClients = 8
)

// turnedSlow is the name of the fault of a server that is slow, and nothing else.
const turnedSlow = "turned slow"

// slowDown makes a server slow for some time.
func (s *server) slowDown(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowUntil = time.Now().Add(duration)
}

// slowTime returns for how much longer a server is slow.
func (s *server) slowTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.slowUntil)
}

// workTime returns how long a request takes. No server is slow after the faults.
func (s *server) workTime() time.Duration {
	select {
	case <-s.env.calm:
	default:
		if time.Now().Before(s.slowUntil) {
			s.env.rebirths.lateAnswers.Add(1)
			return minSlowAnswer + time.Duration(s.env.randN(int((maxSlowAnswer-minSlowAnswer).Milliseconds())))*time.Millisecond
		}
	}
	if s.hasSlots() {
		return workTime
	}
	return 0
}

// hasSlots reports whether the server runs no more than slotCount requests at a time.
func (s *server) hasSlots() bool { return s.env.mode == overloaded && s.service == "y" }

// freeSlot returns the slot that is free first, by the end of its work.
func (s *server) freeSlot() *time.Time {
	if !s.hasSlots() {
		return &time.Time{}
	}
	slot := &s.slots[0]
	for i := range s.slots {
		if s.slots[i].Before(*slot) {
			slot = &s.slots[i]
		}
	}
	return slot
}

// requestKey identifies a request by its flow and sequence number.
func (pkt *packet) requestKey() string { return fmt.Sprintf("%s#%d", pkt.key(), pkt.seq) }

// handleRequest answers a request after its work, or rejects it if it would wait too long
// for a slot. A request that is repeated meanwhile is acknowledged.
func (s *server) handleRequest(pkt *packet) {
	now, key := time.Now(), pkt.requestKey()
	reply := pkt.reply(flagAck, pkt.ack, pkt.seq+uint32(len(pkt.data)), pkt.data)
	due, seen := s.dueAt[key]
	if seen {
		if now.Before(due) {
			s.env.rebirths.acknowledged.Add(1)
			reply.data = nil
		}
		s.send(reply)
		return
	}
	slot := s.freeSlot()
	if slot.Before(now) {
		*slot = now
	}
	if slot.Sub(now) > maxQueueTime {
		reply.data = rejection
		s.send(reply)
		return
	}
	*slot = slot.Add(s.workTime())
	s.dueAt[key] = *slot
	s.env.recordRun(s, pkt)
	if wait := slot.Sub(now); wait > 0 {
		time.AfterFunc(wait, func() { s.send(reply) })
		return
	}
	s.send(reply)
}

// isWorkedOn reports whether the server of a flow works on its present request.
func (f *flow) isWorkedOn() bool {
	s := f.client.env.serverOf(f)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.dueAt[f.packet(0, 0, nil).requestKey()])
}

// turnSlow makes a server slow while no other fault acts on it.
func (env *testEnv) turnSlow(s *server, r *rand.Rand) {
	env.rebirths.slowAlone.Add(1)
	duration := between(r, minSlowTime, maxSlowTime)
	s.slowDown(duration)
	env.sleepWhileFaulty(duration)
	env.release(s)
}
