package logservice

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
)

// fileRecord is one line of the file that keeps the records across restarts, as the
// platform's service does.
type fileRecord struct {
	Stream string `json:"stream"`
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Open returns a log that persists its records in the file at path, which it creates
// if needed, and loads the records in it. If path is empty, the log is in memory only.
func Open(path string) (*Service, error) {
	s := New()
	if path == "" {
		return s, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 2*maxRecordBytes)
	for lines.Scan() {
		var rec fileRecord
		if json.Unmarshal(lines.Bytes(), &rec) != nil {
			continue // incomplete write of a killed process, which was never acknowledged
		}
		st := s.stream(rec.Stream)
		if len(st.records) == 0 {
			st.firstOffset = rec.Offset
		}
		st.records = append(st.records, rec.Data)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	s.file = f
	return s, nil
}

// persist appends a record to the file, if the log has one.
func (s *Service) persist(stream string, offset uint64, data []byte) error {
	if s.file == nil {
		return nil
	}
	text, err := json.Marshal(fileRecord{stream, offset, data})
	if err == nil {
		_, err = s.file.Write(append(text, '\n'))
	}
	if err != nil {
		return fmt.Errorf("log file: %w", err)
	}
	return nil
}
