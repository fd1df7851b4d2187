package reference

import (
	"fmt"
	"strings"
)

// Update returns a page with the text between the markers of each section
// written anew from the source under root. It changes nothing else.
func Update(root, page string) (string, error) {
	sections := []struct {
		name  string
		write func(root string) (string, error)
	}{
		{"settings", settingsTables},
		{"manifest", manifestTables},
		{"metrics", metricTable},
		{"log events", eventTable},
	}
	for _, section := range sections {
		content, err := section.write(root)
		if err != nil {
			return "", fmt.Errorf("%s: %w", section.name, err)
		}
		if page, err = replace(page, section.name, content); err != nil {
			return "", err
		}
	}
	return page, nil
}

func settingsTables(root string) (string, error) {
	return fieldTables(root, "internal/settings", "Common", "Log", "Entry", "Scheduler", "Rollout")
}

func manifestTables(root string) (string, error) {
	return fieldTables(root, "internal/manifest",
		"Manifest", "Region", "ClientAccount", "Pool", "Endpoint", "Route", "Move")
}

// replace puts content between the markers of a section.
func replace(page, section, content string) (string, error) {
	begin := fmt.Sprintf("<!-- begin generated: %s -->\n", section)
	end := fmt.Sprintf("<!-- end generated: %s -->\n", section)
	before, rest, found := strings.Cut(page, begin)
	_, after, ended := strings.Cut(rest, end)
	if !found || !ended {
		return "", fmt.Errorf("the page has no markers of the section %q", section)
	}
	return before + begin + "\n" + content + "\n" + end + after, nil
}
