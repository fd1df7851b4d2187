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

// readManifest reads and checks a file, and returns its text in the form in
// which it is committed.
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
		list.Add(file, "is %d bytes without white space; the platform holds at most %d",
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

// committedManifest returns the committed manifest, version zero if there is none.
func (e *environment) committedManifest() (platform.Object, error) {
	object, err := e.platform.Get(e.ctx, manifestKey)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{Key: manifestKey}, nil
	}
	return object, err
}

// describeChanges returns what changed from one manifest text to another, one
// change a line.
func describeChanges(from, to json.RawMessage) []string {
	old, oldList := manifest.Parse(from)
	changed, newList := manifest.Parse(to)
	if len(oldList) > 0 || len(newList) > 0 {
		return []string{"one of the two has findings, so their parts are not compared"}
	}
	var lines []string
	for _, change := range manifest.Diff(old, changed) {
		lines = append(lines, change.String())
	}
	if lines == nil {
		lines = []string{"nothing but the text"}
	}
	return lines
}

// equalJSON tells whether two JSON texts differ only in white space.
func equalJSON(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return false
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}

// findingsError returns the findings of a check that knows no file.
func findingsError(file string, list findings.List) error {
	if len(list) == 0 {
		return nil
	}
	return list.InFile(file)
}
