package logservice

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
)

// line is one record in the file of a stand-in that keeps its records over
// restarts, as the platform's service does.
type line struct {
	Stream string `json:"stream"`
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Open returns a log that keeps its records in the file; with an empty path it
// keeps them in memory only.
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
	lines.Buffer(nil, 2*maxRecord)
	for lines.Scan() {
		var l line
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			continue // a write that a kill cut short was never answered
		}
		st := s.stream(l.Stream)
		if len(st.records) == 0 {
			st.first = l.Offset
		}
		st.records = append(st.records, l.Data)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	s.file = f
	return s, nil
}

// keep writes a record to the file, if there is one.
func (s *Service) keep(stream string, offset uint64, data []byte) error {
	if s.file == nil {
		return nil
	}
	text, err := json.Marshal(line{stream, offset, data})
	if err == nil {
		_, err = s.file.Write(append(text, '\n'))
	}
	if err != nil {
		return fmt.Errorf("log file: %w", err)
	}
	return nil
}
