package inputfile

import (
	"bytes"
	"fmt"
)

// maxYAMLIndicators is how many characters that can begin a YAML node a file may have. The parser allocates up to 320
// bytes for each, so that a small file could take all memory of a process.
const maxYAMLIndicators = 150_000

// yamlIndicators are characters of which one precedes or separates any two nodes of a YAML file.
var yamlIndicators = []byte(",:?-[{\n")

// ErrYAMLTooLarge means that a YAML file has more entries than any sensible one.
var ErrYAMLTooLarge = fmt.Errorf("over %d YAML indicators, the file is too large", maxYAMLIndicators)

// CheckYAML returns ErrYAMLTooLarge, and the line from which on it applies, for YAML that has too many nodes to be
// parsed within a process's memory.
func CheckYAML(data []byte) (line int, err error) {
	indicators := 0
	line = 1
	for _, c := range data {
		if bytes.IndexByte(yamlIndicators, c) < 0 {
			continue
		}
		if indicators++; indicators > maxYAMLIndicators {
			return line, ErrYAMLTooLarge
		}
		if c == '\n' {
			line++
		}
	}
	return 0, nil
}
