package daemon

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"monsooncleat.example/monsooncleat/internal/agree/disk"
	"monsooncleat.example/monsooncleat/internal/dir/core"
)

// runDisk is the goroutine that owns the store. It sends the messages of a batch
// only after the batch is synced.
func (d *Daemon) runDisk(ctx context.Context) error {
	generation := 0
	for {
		select {
		case <-ctx.Done():
			return d.store.Close()
		case b := <-d.batches.Items():
			if b.generation != generation {
				continue
			}
			if b.reopen {
				if !d.reopen(ctx) {
					return nil
				}
				generation++
				continue
			}
			start := time.Now()
			synced, wrote, err := d.save(&b.Output)
			if wrote {
				d.syncTime.Record(time.Since(start))
			}
			if err != nil {
				d.diskEvents.Offer(event{diskErr: err})
				if !d.reopen(ctx) {
					return nil
				}
				generation++
				continue
			}
			if b.Servers != nil {
				d.saveHint(serversFile, b.Servers)
			}
			if b.EntryHosts != nil {
				d.saveHint(entryHostsFile, b.EntryHosts)
			}
			for _, s := range b.SendAfterSync {
				d.peers.Send(s.Address, s.Body)
			}
			if len(b.AnswersAfterSync) > 0 {
				d.diskEvents.Offer(event{answers: b.AnswersAfterSync})
			}
			if synced != nil {
				d.diskEvents.Offer(event{persisted: synced})
			}
		}
	}
}

// save writes and syncs a batch. It returns the position of the last entry stored
// or covered by an installed snapshot, or nil if there is none, and whether
// anything was written.
func (d *Daemon) save(out *core.Output) (synced *logPosition, wrote bool, err error) {
	if out.Install != nil {
		if err := d.store.Save(out.State, nil); err != nil {
			return nil, true, err
		}
		if err := d.store.SaveSnapshot(out.Install, nil); err != nil {
			return nil, true, err
		}
		synced = &logPosition{out.Install.Index, out.Install.Term}
	}
	if err := d.store.Save(out.State, out.Entries); err != nil {
		return nil, true, err
	}
	if n := len(out.Entries); n > 0 {
		synced = &logPosition{out.Entries[n-1].Index, out.Entries[n-1].Term}
	}
	if out.Snapshot != nil {
		if err := d.store.SaveSnapshot(out.Snapshot, out.Retained); err != nil {
			return nil, true, err
		}
	}
	return synced, out.State != nil || synced != nil || out.Snapshot != nil, nil
}

// Files in the data folder that the next start reads.
const (
	// serversFile holds the server list. Without it, a server that left may be offered
	// again. entryHostsFile holds the addresses of entry hosts, which only make the
	// next start faster.
	serversFile    = "servers"
	entryHostsFile = "entryHosts"
)

// saveHint writes one of these files. An error is logged and otherwise ignored: what
// waits for the write is released, as on a host whose disk has failed.
func (d *Daemon) saveHint(name string, data []byte) {
	if err := disk.Replace(filepath.Join(d.settings.DataFolder, name), data); err != nil {
		d.log.Warn("Cannot save a file for the next start.", "file", name, "err", err)
	}
}

// loadEntryHosts loads the addresses of entry hosts that an earlier run saved.
func (d *Daemon) loadEntryHosts() {
	b, err := os.ReadFile(filepath.Join(d.settings.DataFolder, entryHostsFile))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = d.core.LoadEntryHosts(b)
	}
	if err != nil {
		d.log.Warn("Cannot load the saved addresses of entry hosts.", "err", err)
	}
}

// loadServers loads the server list that an earlier run saved.
func (d *Daemon) loadServers() {
	b, err := os.ReadFile(filepath.Join(d.settings.DataFolder, serversFile))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = d.core.LoadServers(d.clock.Now(), b)
	}
	if err != nil {
		d.log.Warn("Cannot load the saved server list.", "err", err)
		return
	}
	d.log.Info("Saved server list loaded.", "servers", d.core.Fleet().Len())
}

// reopen opens the store again and retries until that succeeds or ctx is done.
// Batches that were queued for the failed store are discarded: nothing in them
// was acknowledged.
func (d *Daemon) reopen(ctx context.Context) bool {
	_ = d.store.Close()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reopenInterval):
		}
		store, stored, _, err := open(d.settings.DataFolder, d.log)
		if err != nil {
			d.log.Warn("Cannot reopen the data folder yet.", "err", err)
			continue
		}
		id, err := d.raftID(store, false)
		if err != nil {
			d.log.Warn("Cannot read the identity of the disk yet.", "err", err)
			_ = store.Close()
			continue
		}
		d.store = store
		d.diskEvents.Offer(event{reopened: &reopenedStore{id, stored}})
		return true
	}
}
