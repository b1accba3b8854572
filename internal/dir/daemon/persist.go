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

// persist is the goroutine that owns the disk. What a step sends goes out only
// after what it stored is synced.
func (d *Daemon) persist(ctx context.Context) error {
	life := 0
	for {
		select {
		case <-ctx.Done():
			return d.store.Close()
		case out := <-d.batches.Items():
			if out.life != life {
				continue
			}
			start := time.Now()
			at, stored, err := d.save(&out.Out)
			if stored {
				d.syncTime.Record(time.Since(start))
			}
			if err != nil {
				d.synced.Offer(event{failed: err})
				if !d.reopen(ctx) {
					return nil
				}
				life++
				continue
			}
			if out.Servers != nil {
				d.keep(out.Servers)
			}
			for _, s := range out.Sends {
				d.peers.Send(s.Address, s.Body)
			}
			if at != nil {
				d.synced.Offer(event{persisted: at})
			}
		}
	}
}

func (d *Daemon) save(out *core.Out) (at *position, stored bool, err error) {
	if out.Install != nil {
		if err := d.store.Save(out.State, nil); err != nil {
			return nil, true, err
		}
		if err := d.store.SaveSnapshot(out.Install, nil); err != nil {
			return nil, true, err
		}
		at = &position{out.Install.Index, out.Install.Term}
	}
	if err := d.store.Save(out.State, out.Entries); err != nil {
		return nil, true, err
	}
	if n := len(out.Entries); n > 0 {
		at = &position{out.Entries[n-1].Index, out.Entries[n-1].Term}
	}
	if out.Snapshot != nil {
		if err := d.store.SaveSnapshot(out.Snapshot, out.After); err != nil {
			return nil, true, err
		}
	}
	return at, out.State != nil || at != nil || out.Snapshot != nil, nil
}

// serversName is the file that keeps the list of servers for the next start.
const serversName = "servers"

// keep stores the list of servers. It only speeds up the next start, so a
// failure is logged and no more.
func (d *Daemon) keep(servers []byte) {
	if err := disk.Replace(filepath.Join(d.settings.DataFolder, serversName), servers); err != nil {
		d.log.Warn("List of servers cannot be kept.", "err", err)
	}
}

// recall takes up the list of servers that an earlier run kept.
func (d *Daemon) recall() {
	b, err := os.ReadFile(filepath.Join(d.settings.DataFolder, serversName))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = d.core.Recall(d.clock.Now(), b)
	}
	if err != nil {
		d.log.Warn("List of servers cannot be read.", "err", err)
		return
	}
	d.log.Info("List of servers recalled.", "servers", d.core.Fleet().Len())
}

// reopen tries to use the disk again until it takes writes. What waited for the
// disk is discarded: none of it was acknowledged.
func (d *Daemon) reopen(ctx context.Context) bool {
	_ = d.store.Close()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reopenPause):
		}
		store, stored, err := open(d.settings.DataFolder, d.log)
		if err != nil {
			d.log.Warn("Disk does not work yet.", "err", err)
			continue
		}
		d.store = store
		d.synced.Offer(event{reopened: &stored})
		return true
	}
}
