package opctl

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/core/snap"
)

// noteFile is a note in a local file.
type noteFile struct {
	path string
	// number is the version in the name of the file, or 0 if the name contains none.
	number core.Version
	data   []byte
}

const noteSuffix = ".toml"

// readNotes reads a single file, or all notes in a directory in ascending order of number.
// Files in a directory whose names are not note numbers are ignored.
func readNotes(path string) ([]noteFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, core.Errorf(core.Usage, "%v", err)
	}
	if !info.IsDir() {
		var file noteFile
		file, err = readNote(path)
		return []noteFile{file}, err
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, core.Errorf(core.Usage, "%v", err)
	}
	var files []noteFile
	for _, entry := range entries {
		if fileNumber(entry.Name()) == 0 {
			continue
		}
		file, err := readNote(filepath.Join(path, entry.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	if len(files) == 0 {
		return nil, core.Errorf(core.Usage, "%s contains no notes; the name of a note is ten digits followed by %s", path, noteSuffix)
	}
	slices.SortFunc(files, func(a, b noteFile) int {
		return strings.Compare(a.path, b.path)
	})
	return files, nil
}

func readNote(path string) (noteFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return noteFile{}, core.Errorf(core.Usage, "%v", err)
	}
	return noteFile{
		path:   path,
		number: fileNumber(filepath.Base(path)),
		data:   data,
	}, nil
}

// fileNumber returns the number in a file name such as 0000000042.toml, or 0 if there is none.
func fileNumber(name string) core.Version {
	digits, ok := strings.CutSuffix(name, noteSuffix)
	if !ok {
		return 0
	}
	number, err := note.KeyVersion(note.KeyPrefix + digits)
	if err != nil {
		return 0
	}
	return number
}

// readCheckpoint returns the snapshot in a local checkpoint file.
func readCheckpoint(path string) (*core.Snapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, core.Errorf(core.Usage, "%v", err)
	}
	return decodeCheckpoint(data)
}

func decodeCheckpoint(data []byte) (*core.Snapshot, error) {
	checkpoint, err := note.ParseCheckpoint(data)
	if err != nil {
		return nil, core.Errorf(core.StoreMalformed, "checkpoint: %v", err)
	}
	return snap.FromCheckpoint(checkpoint)
}
