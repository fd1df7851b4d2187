package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"kingcupcourse/internal/findings"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/platform"
)

// manifestKey is the key of the manifest in the platform.
const manifestKey = "manifest"

// validateCommand checks a manifest offline.
type validateCommand struct {
	File string `arg:"" help:"Manifest file (JSON)." type:"existingfile"`
}

// Run implements the command.
func (c *validateCommand) Run(env *environment) error {
	_, _, err := readManifest(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.stdout, "%s: no findings\n", c.File)
	return err
}

// readManifest reads and validates a manifest file. It also returns the text in
// the compact form in which it is committed.
func readManifest(file string) (*manifest.Manifest, json.RawMessage, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read manifest")
	}
	parsed, list := manifest.Parse(text)
	if len(list) > 0 {
		return nil, nil, list.InFile(file)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return nil, nil, eris.Wrap(err, "compact manifest")
	}
	if compact.Len() > platform.MaxValueBytes {
		list.Add(file, "is %d bytes without white space; the platform stores at most %d bytes",
			compact.Len(), platform.MaxValueBytes)
		return nil, nil, list
	}
	return parsed, compact.Bytes(), nil
}

// getCommand prints the committed manifest.
type getCommand struct {
	JSON bool `help:"Print an object with the version and the manifest." name:"json"`
}

// Run implements the command.
func (c *getCommand) Run(env *environment) error {
	if err := env.requirePlatform(); err != nil {
		return err
	}
	object, err := env.platform.Get(env.ctx, manifestKey)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if c.JSON {
		err = writeJSON(&text, map[string]any{"version": object.Version, "manifest": object.Value})
	} else {
		fmt.Fprintf(env.stderr, "version %d\n", object.Version)
		err = writeJSON(&text, object.Value)
	}
	if err != nil {
		return err
	}
	return env.print(&text)
}

func writeJSON(out *bytes.Buffer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// committedManifest returns the committed manifest, or an object of version zero
// if there is none.
func (e *environment) committedManifest() (platform.Object, error) {
	object, err := e.platform.Get(e.ctx, manifestKey)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{Key: manifestKey}, nil
	}
	return object, err
}

// describeChanges returns the changes from one manifest text to another, one
// per line.
func describeChanges(from, to json.RawMessage) []string {
	fromManifest, fromFindings := manifest.Parse(from)
	toManifest, toFindings := manifest.Parse(to)
	if len(fromFindings) > 0 || len(toFindings) > 0 {
		return []string{"the manifests can't be compared because at least one of them has findings"}
	}
	var lines []string
	for _, change := range manifest.Diff(fromManifest, toManifest) {
		lines = append(lines, change.String())
	}
	if lines == nil {
		lines = []string{"no change of content"}
	}
	return lines
}

// equalJSON reports whether two JSON texts differ only in white space.
func equalJSON(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return false
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}

// findingsError returns findings as an error that names the file, nil if there
// are none.
func findingsError(file string, list findings.List) error {
	if len(list) == 0 {
		return nil
	}
	return list.InFile(file)
}
