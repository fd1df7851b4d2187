package reference

import (
	"fmt"
	"strings"
)

// Page is a documentation page with sections that are generated from the
// source.
type Page struct {
	// Path is the page's path relative to the root of the repository.
	Path     string
	sections []section
}

// section is a generated part of a page, enclosed by two markers.
type section struct {
	name     string
	generate func(root string) (string, error)
}

// Pages returns the pages with generated sections.
func Pages() []Page {
	return []Page{
		{"docs/OPERATIONS.md", []section{
			{"settings", settingsTables},
			{"manifest", manifestTables},
			{"metrics", metricTable},
			{"log events", eventTable},
		}},
		{"docs/SECURITY.md", []section{{"limits", limitTable}}},
	}
}

// Update returns the page's text with its generated sections regenerated from
// the source under root. It changes nothing else.
func (p Page) Update(root, text string) (string, error) {
	for _, s := range p.sections {
		content, err := s.generate(root)
		if err != nil {
			return "", fmt.Errorf("%s: %w", s.name, err)
		}
		if text, err = replaceSection(text, s.name, content); err != nil {
			return "", err
		}
	}
	return text, nil
}

func settingsTables(root string) (string, error) {
	return fieldTables(root, "internal/settings", "Common", "Log", "Entry", "Scheduler", "Rollout")
}

func manifestTables(root string) (string, error) {
	return fieldTables(root, "internal/manifest",
		"Manifest", "Region", "ClientAccount", "Pool", "Endpoint", "Route", "Move")
}

// replaceSection replaces the text between the markers of a section.
func replaceSection(page, name, content string) (string, error) {
	begin := fmt.Sprintf("<!-- begin generated: %s -->\n", name)
	end := fmt.Sprintf("<!-- end generated: %s -->\n", name)
	before, rest, found := strings.Cut(page, begin)
	_, after, ended := strings.Cut(rest, end)
	if !found || !ended {
		return "", fmt.Errorf("the page has no markers of the section %q", name)
	}
	return before + begin + "\n" + content + "\n" + end + after, nil
}
