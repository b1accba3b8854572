// Package disk stores the replicated log of one host in a data folder: a segmented
// write-ahead log with checksums, and a snapshot that is replaced by rename.
//
// A record is a 4-byte length, a 4-byte CRC-32C and a msgpack body. A torn record
// at the end of the newest segment is truncated. Any other corruption makes Open
// fail.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/agree/write"
)

// ErrCorrupt is returned by Open for a corrupt log or snapshot. A torn record at
// the end of the log is not an error.
var ErrCorrupt = errors.New("stored log is corrupt")

const (
	snapshotName  = "snapshot"
	identityName  = "identity"
	segmentSuffix = ".wal"
	// recordHeaderSize is the size in bytes of the length and checksum of a record.
	recordHeaderSize = 8
	// maxRecordBody is the maximum size in bytes of the body of a record.
	maxRecordBody = 64 << 20
	// segmentSize is the size in bytes beyond which a new segment is started.
	segmentSize = 8 << 20
	fileMode    = 0o600
	folderMode  = 0o700
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is the body of one record of the write-ahead log. Exactly one field is set.
type record struct {
	State *raft.HardState `msgpack:"state,omitempty"`
	Entry *raft.Entry     `msgpack:"entry,omitempty"`
}

// Store is an open data folder. It must not be used after a call has failed,
// because it is then unknown what reached the disk.
type Store struct {
	folder string
	// sync syncs a segment to disk.
	sync func(*os.File) error
	// segment is the newest segment, with its size in bytes and its number.
	segment *os.File
	size    int64
	number  uint64
	// segments are the numbers of all segments in use, oldest first.
	segments []uint64
	// created is set while the names of new segments may not be on disk.
	created bool
	// state is the latest hard state. Each new segment starts with it.
	state raft.HardState
}

// Open opens the data folder, creating it if it doesn't exist, and returns the
// store and its content. It always starts a new segment, which the first write syncs.
func Open(folder string) (*Store, raft.Stored, error) { return openWith(folder, (*os.File).Sync) }

func openWith(folder string, sync func(*os.File) error) (*Store, raft.Stored, error) {
	var stored raft.Stored
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, stored, eris.Wrap(err, "create data folder")
	}
	s := &Store{folder: folder, sync: sync}
	if err := s.readSnapshot(&stored.Snapshot); err != nil {
		return nil, stored, err
	}
	if err := s.readSegments(&stored); err != nil {
		return nil, stored, err
	}
	dropEntriesOfReplacedLog(&stored)
	s.state = stored.State
	if err := s.beginSegment(); err != nil {
		return nil, stored, err
	}
	return s, stored, nil
}

// dropEntriesOfReplacedLog drops entries of a log that the snapshot replaced. They
// are left over if the host crashed before the old segments were deleted. Terms
// never decrease along a log, so an entry after the snapshot with an older term
// than the snapshot belongs to the replaced log.
func dropEntriesOfReplacedLog(stored *raft.Stored) {
	if len(stored.Entries) > 0 && stored.Entries[0].Term < stored.Snapshot.Term {
		stored.Entries = nil
	}
}

func (s *Store) readSnapshot(snap *raft.Snapshot) error {
	b, err := os.ReadFile(filepath.Join(s.folder, snapshotName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read snapshot")
	}
	body, rest, err := nextRecord(b)
	if err != nil || len(rest) != 0 {
		return fmt.Errorf("%w: snapshot: bad length or checksum", ErrCorrupt)
	}
	return eris.Wrap(msgpack.Unmarshal(body, snap), "decode snapshot")
}

func (s *Store) readSegments(stored *raft.Stored) error {
	paths, err := filepath.Glob(filepath.Join(s.folder, "*"+segmentSuffix))
	if err != nil {
		return eris.Wrap(err, "list segments")
	}
	sort.Strings(paths)
	for i, path := range paths {
		var number uint64
		if _, err := fmt.Sscanf(filepath.Base(path), "%016x"+segmentSuffix, &number); err != nil {
			return fmt.Errorf("%w: invalid segment name %s", ErrCorrupt, filepath.Base(path))
		}
		s.segments = append(s.segments, number)
		s.number = number
		if err := readSegment(path, i == len(paths)-1, stored); err != nil {
			return err
		}
	}
	if len(paths) == 0 {
		return nil
	}
	return s.syncSegment(paths[len(paths)-1])
}

// syncSegment syncs the newest segment after it was read. A process that was killed may have
// written the end of it without a sync, and all that was read counts as stored from now on.
func (s *Store) syncSegment(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return eris.Wrap(err, "open segment")
	}
	defer f.Close()
	return eris.Wrap(s.sync(f), "sync segment")
}

// readSegment adds the records of the segment file at path to stored. A torn record
// at the end of the last segment is truncated.
func readSegment(path string, last bool, stored *raft.Stored) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read segment")
	}
	size := len(b)
	for len(b) > 0 {
		body, rest, err := nextRecord(b)
		if err != nil {
			return truncateTornRecord(path, b, int64(size-len(b)), last)
		}
		var r record
		if err := msgpack.Unmarshal(body, &r); err != nil {
			return fmt.Errorf("%w: segment %s: cannot decode record", ErrCorrupt, filepath.Base(path))
		}
		if err := r.addTo(stored); err != nil {
			return err
		}
		b = rest
	}
	return nil
}

// truncateTornRecord truncates the segment file at path to offset bytes if rest is
// a torn record: it is in the last segment and no intact record follows it.
// Otherwise the segment is corrupt, and an error is returned.
func truncateTornRecord(path string, rest []byte, offset int64, last bool) error {
	if !last || hasIntactRecordAfter(rest) {
		return fmt.Errorf("%w: segment %s: bad record at byte %d", ErrCorrupt, filepath.Base(path), offset)
	}
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return eris.Wrap(err, "open segment")
	}
	defer f.Close()
	if err := f.Truncate(offset); err != nil {
		return eris.Wrap(err, "truncate torn record")
	}
	return eris.Wrap(f.Sync(), "sync segment")
}

// hasIntactRecordAfter reports whether an intact record starts at any offset of b
// above 0. The record at offset 0 is then corrupt, not torn.
func hasIntactRecordAfter(b []byte) bool {
	for i := 1; i+recordHeaderSize < len(b); i++ {
		if _, _, err := nextRecord(b[i:]); err == nil {
			return true
		}
	}
	return false
}

// addTo applies r to stored, in the order of the log: a later hard state replaces
// the earlier one, and an entry replaces those from its index on. An entry that is stored
// already changes nothing: SaveSnapshot writes those after the snapshot again, and if that
// was cut short, the older segments still hold the ones that follow.
func (r *record) addTo(stored *raft.Stored) error {
	if r.State != nil {
		stored.State = *r.State
	}
	if r.Entry == nil || r.Entry.Index <= stored.Snapshot.Index {
		return nil
	}
	at := r.Entry.Index - stored.Snapshot.Index - 1
	if at > uint64(len(stored.Entries)) {
		return fmt.Errorf("%w: log entry %d is missing", ErrCorrupt, r.Entry.Index-1)
	}
	if at < uint64(len(stored.Entries)) && stored.Entries[at].Term == r.Entry.Term {
		return nil
	}
	stored.Entries = append(stored.Entries[:at], *r.Entry)
	return nil
}

// nextRecord returns the body of the first record of b and the bytes after the
// record.
func nextRecord(b []byte) (body, rest []byte, err error) {
	if len(b) < recordHeaderSize {
		return nil, nil, ErrCorrupt
	}
	length := int(binary.BigEndian.Uint32(b))
	// No record is empty. Zeroes are what some file systems leave of a write after a power loss.
	if length == 0 || length > maxRecordBody || len(b) < recordHeaderSize+length {
		return nil, nil, ErrCorrupt
	}
	body = b[recordHeaderSize : recordHeaderSize+length]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[4:]) {
		return nil, nil, ErrCorrupt
	}
	return body, b[recordHeaderSize+length:], nil
}

// appendRecord appends v to dst as a record.
func appendRecord(dst []byte, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode record")
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)))
	dst = binary.BigEndian.AppendUint32(dst, crc32.Checksum(body, castagnoli))
	return append(dst, body...), nil
}

func (s *Store) segmentPath(number uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

// beginSegment starts a new segment. Its first record is the current hard state, so that older
// segments can be deleted once it is synced, as the next write does.
func (s *Store) beginSegment() error {
	s.number++
	f, err := os.OpenFile(s.segmentPath(s.number), os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrap(err, "create segment")
	}
	if s.segment != nil {
		_ = s.segment.Close()
	}
	s.segment, s.size = f, 0
	s.segments = append(s.segments, s.number)
	s.created = true
	return s.append([]record{{State: &s.state}})
}

// append appends records to the newest segment.
func (s *Store) append(records []record) error {
	var b []byte
	for i := range records {
		var err error
		if b, err = appendRecord(b, &records[i]); err != nil {
			return err
		}
	}
	if _, err := s.segment.Write(b); err != nil {
		return eris.Wrap(err, "write segment")
	}
	s.size += int64(len(b))
	return nil
}

// Sync syncs the newest segment, and its name. Open leaves that to the first write; a caller that
// needs to know whether the disk works calls it.
func (s *Store) Sync() error {
	if err := s.sync(s.segment); err != nil {
		return eris.Wrap(err, "sync segment")
	}
	if !s.created {
		return nil
	}
	s.created = false
	return syncFolder(s.folder)
}

// Save writes state, unless it is nil, and entries, and syncs them to disk.
func (s *Store) Save(state *raft.HardState, entries []raft.Entry) error {
	records := recordsOf(state, entries)
	if len(records) == 0 {
		return nil
	}
	if state != nil {
		s.state = *state
	}
	if err := s.append(records); err != nil {
		return err
	}
	if err := s.Sync(); err != nil {
		return err
	}
	if s.size > segmentSize {
		return s.beginSegment()
	}
	return nil
}

// recordsOf returns the records of a state, unless it is nil, and of entries.
func recordsOf(state *raft.HardState, entries []raft.Entry) []record {
	records := make([]record, 0, len(entries)+1)
	if state != nil {
		records = append(records, record{State: state})
	}
	for i := range entries {
		records = append(records, record{Entry: &entries[i]})
	}
	return records
}

// SaveBatch writes a batch and syncs it to disk.
func (s *Store) SaveBatch(b *write.Batch) error {
	state := b.State
	if b.Install != nil {
		if err := s.Save(state, nil); err != nil {
			return err
		}
		if err := s.SaveSnapshot(b.Install, nil); err != nil {
			return err
		}
		// The segment that SaveSnapshot begins holds the state.
		state = nil
	}
	if err := s.Save(state, b.Entries); err != nil {
		return err
	}
	if b.Snapshot == nil {
		return nil
	}
	return s.SaveSnapshot(b.Snapshot, b.Retained)
}

// SaveSnapshot replaces the snapshot, writes the entries that follow it to a new
// segment and deletes the older segments. All of it is synced to disk.
func (s *Store) SaveSnapshot(snap *raft.Snapshot, after []raft.Entry) error {
	b, err := appendRecord(nil, snap)
	if err != nil {
		return err
	}
	if err := s.replaceFile(snapshotName, b); err != nil {
		return err
	}
	old := s.segments
	s.segments = nil
	if err := s.beginSegment(); err != nil {
		return err
	}
	if err := s.append(recordsOf(nil, after)); err != nil {
		return err
	}
	if err := s.Sync(); err != nil {
		return err
	}
	for _, number := range old {
		if err := os.Remove(s.segmentPath(number)); err != nil {
			return eris.Wrap(err, "delete segment")
		}
	}
	return syncFolder(s.folder)
}

// replaceFile atomically replaces the named file of the data folder. See Replace.
func (s *Store) replaceFile(name string, b []byte) error {
	if err := Replace(filepath.Join(s.folder, name), b); err != nil {
		return err
	}
	// Replace has synced the folder.
	s.created = false
	return nil
}

// Identity returns the stored identity of the disk, or "" if none is stored yet.
func (s *Store) Identity() (string, error) {
	b, err := os.ReadFile(filepath.Join(s.folder, identityName))
	if errors.Is(err, os.ErrNotExist) {
		return "", nil
	}
	return string(b), eris.Wrap(err, "read identity")
}

// SetIdentity stores id as the identity of the disk.
func (s *Store) SetIdentity(id string) error {
	return s.replaceFile(identityName, []byte(id))
}

// Close closes the newest segment file.
func (s *Store) Close() error { return s.segment.Close() }

// Replace atomically replaces the content of path with b: after a crash the file
// holds either the complete old or the complete new content. It writes path.new,
// syncs it, renames it and syncs the folder.
func Replace(path string, b []byte) error {
	temp := path + ".new"
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrap(err, "create file")
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return eris.Wrap(err, "write file")
	}
	if err := os.Rename(temp, path); err != nil {
		return eris.Wrap(err, "rename file")
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	defer f.Close()
	return eris.Wrap(f.Sync(), "sync folder")
}
