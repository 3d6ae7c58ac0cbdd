package fleet

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
)

const epochFile = "epoch"

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// readEpoch returns the last epoch that was stored in the folder, 0 if none.
func readEpoch(dir string) (uint64, error) {
	text, err := os.ReadFile(filepath.Join(dir, epochFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var epoch uint64
	var sum uint32
	if _, err := fmt.Sscanf(string(text), "1 %d %08x\n", &epoch, &sum); err != nil || sum != epochChecksum(epoch) {
		return 0, fmt.Errorf("%s: %.40q found, want form 1, a number and its checksum", filepath.Join(dir, epochFile), text)
	}
	return epoch, nil
}

func epochChecksum(epoch uint64) uint32 { return crc32.Checksum(fmt.Append(nil, epoch), crcTable) }

// writeEpoch stores an epoch atomically: after a power failure the file holds either the old epoch or the new
// one.
func writeEpoch(dir string, epoch uint64) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	tmp := filepath.Join(dir, epochFile+".new")
	f, err := os.OpenFile(tmp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "1 %d %08x\n", epoch, epochChecksum(epoch))
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(tmp, filepath.Join(dir, epochFile)); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
