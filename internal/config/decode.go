package config

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"

	"harepass/internal/inputfile"
)

// stableTypeNames replaces Go type names in the decoders' messages by fixed names. Operators and scripts read these
// messages, so renaming or moving a type must not change them.
var stableTypeNames = strings.NewReplacer(
	"config.DistributionFile", "main.distributionFile",
	"config.OverloadFile", "main.overloadFile",
	"config.RelaySource", "main.relaySource",
	"config.RelayFile", "main.relayFile",
	"config.AuthorityFile", "main.authorityFile",
	"config.PlatformFile", "main.config",
	"config.Limits", "main.limits",
	"Go struct field PlatformFile.", "Go struct field config.",
	"Go struct field Limits.", "Go struct field limits.",
)

// renderedError wraps an error and replaces its text.
type renderedError struct {
	text string
	err  error
}

// Error implements error.
func (e *renderedError) Error() string { return e.text }

// Unwrap returns the error whose text was replaced.
func (e *renderedError) Unwrap() error { return e.err }

// decodeYAML decodes a file's contents into a struct that holds the defaults. Unknown keys are errors, and an empty
// file keeps the defaults. The error is a *FileError with a text of one line.
func decodeYAML(path string, data []byte, into any) error {
	if _, err := inputfile.CheckYAML(data); err != nil {
		return &FileError{path, err}
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(into)
	if err == nil || err == io.EOF {
		return nil
	}
	text := strings.Join(strings.Fields(err.Error()), " ")
	return &FileError{path, &renderedError{stableTypeNames.Replace(text), err}}
}

// decodeJSON decodes JSON into a struct that holds the defaults; it ignores unknown keys.
func decodeJSON(data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return &renderedError{stableTypeNames.Replace(err.Error()), err}
	}
	return nil
}
