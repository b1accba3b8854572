package daemon

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"monsooncleat.example/monsooncleat/internal/agree/disk"
	"monsooncleat.example/monsooncleat/internal/base/ring"
	"monsooncleat.example/monsooncleat/internal/dir/core"
)

// runDisk is the goroutine that owns the store. It sends the messages of a batch
// only after the batch is synced.
func (d *Daemon) runDisk(ctx context.Context) error {
	// Batches that wait are merged, so that a slow disk makes no queue of syncs.
	batches := ring.NewBatcher(d.batches, (*batch).merge)
	for generation := 0; ; {
		b, ok := batches.Next(ctx)
		if !ok {
			return d.store.Close()
		}
		if b.generation != generation {
			continue
		}
		if !b.reopen {
			err := d.saveAndSend(&b)
			if err == nil {
				continue
			}
			d.diskEvents.Offer(event{diskErr: err})
		}
		if !d.reopen(ctx) {
			return nil
		}
		generation++
	}
}

// saveAndSend writes and syncs a batch, and sends what waits for that.
func (d *Daemon) saveAndSend(b *batch) error {
	start := time.Now()
	if err := d.store.SaveBatch(&b.Batch); err != nil {
		return err
	}
	if !b.Batch.Empty() {
		d.syncTime.Record(time.Since(start))
	}
	for _, s := range b.SendAfterSync {
		d.peers.Send(s.Address, s.Body)
	}
	d.sendToWitnesses(b.DatagramsAfterSync)
	if synced := b.Synced(); !synced.Empty() {
		d.diskEvents.Offer(event{persisted: &synced})
	}
	return nil
}

// Files in the data folder that the next start reads.
const (
	// serversFile holds the server list. Without it, a server that left may be offered
	// again. entryHostsFile holds the addresses of entry hosts, which only make the
	// next start faster.
	serversFile    = "servers"
	entryHostsFile = "entryHosts"
)

// runLists is the goroutine that saves the lists for the next start. It is apart from runDisk
// because votes and entries of the log can't wait for lists on a slow disk.
func (d *Daemon) runLists(ctx context.Context) error {
	waiting := ring.NewBatcher(d.lists, func(into, later *core.Lists) bool {
		into.Merge(later)
		return true
	})
	for {
		lists, ok := waiting.Next(ctx)
		if !ok {
			return nil
		}
		if !d.saveList(serversFile, lists.Servers) {
			d.diskEvents.Offer(event{listsLost: true})
		}
		for _, s := range lists.SendAfterSave {
			d.peers.Send(s.Address, s.Body)
		}
		if len(lists.AnswersAfterSave) > 0 {
			d.diskEvents.Offer(event{answers: lists.AnswersAfterSave})
		}
		d.saveList(entryHostsFile, lists.EntryHosts)
	}
}

// queueLists passes lists to runLists. If there is no room, what waits for them is not
// acknowledged.
func (d *Daemon) queueLists(lists core.Lists) {
	if lists.Empty() || d.lists.Offer(lists) {
		return
	}
	d.writeLog(core.LogLine{Text: "Disk is too slow for the lists of the next start.", Fields: []any{"waiting", d.lists.Depth()}})
	for i := range lists.AnswersAfterSave {
		lists.AnswersAfterSave[i].Code = core.Unavailable
	}
	d.deliver(lists.AnswersAfterSave)
	d.core.ListsLost()
}

// saveList writes one of these files, unless data is nil, and reports whether it did not fail. An
// error is logged: what waits for the write is released, as on a host whose disk has failed.
func (d *Daemon) saveList(name string, data []byte) bool {
	if data == nil {
		return true
	}
	err := disk.Replace(filepath.Join(d.settings.DataFolder, name), data)
	if err != nil {
		d.log.Warn("Cannot save a file for the next start.", "file", name, "err", err)
	}
	return err == nil
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
		if err := store.Sync(); err != nil {
			d.log.Warn("Cannot write to the data folder yet.", "err", err)
			_ = store.Close()
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
