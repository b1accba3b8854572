package daemon

import (
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"monsooncleat.example/monsooncleat/internal/agree/disk"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/logs"
)

// open opens the store. If the store is corrupt, it deletes all files in the data
// folder, the identity of the disk included, opens an empty store, and reports that
// the content was discarded.
func open(folder string, log *logs.Logger) (store *disk.Store, stored raft.Stored, discarded bool, err error) {
	store, stored, err = disk.Open(folder)
	if !errors.Is(err, disk.ErrCorrupt) {
		return store, stored, false, err
	}
	log.Error("Stored log is corrupt. All files in the data folder are deleted, and this host continues with an empty store.", "err", err)
	names, gerr := filepath.Glob(filepath.Join(folder, "*"))
	if gerr != nil {
		return nil, stored, false, eris.Wrap(gerr, "list data folder")
	}
	for _, name := range names {
		if rerr := os.RemoveAll(name); rerr != nil {
			return nil, stored, false, eris.Wrap(rerr, "delete file of corrupt store")
		}
	}
	store, stored, err = disk.Open(folder)
	return store, stored, true, err
}

// raftID returns the Raft ID of this host: its address and the identity of its disk.
// All founders use the same fixed identity, since the initial membership names
// them before they have exchanged any message. Any other new disk gets a random
// one, also one whose content was discarded: the host may have voted before.
func (d *Daemon) raftID(store *disk.Store, founder bool) (raft.ID, error) {
	id, err := store.Identity()
	if err != nil {
		return "", err
	}
	if id == "" {
		if id = founderIdentity; !founder {
			var b [8]byte
			for i := range b {
				b[i] = byte(rand.Uint32())
			}
			id = hex.EncodeToString(b[:])
		}
		if err := store.SetIdentity(id); err != nil {
			return "", err
		}
	}
	return raft.ID(d.settings.Peer.String() + "/" + id), nil
}

// founderIdentity is the identity of the disk of each founder.
const founderIdentity = "founder"

// canBootstrap reports whether this host may bootstrap the log.
func (d *Daemon) canBootstrap() bool {
	return d.settings.Bootstrap && slices.Contains(d.settings.Seeds, d.settings.Peer)
}
