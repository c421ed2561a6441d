package lab

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
)

// Variant is the text of a scenario with a name, for a comparison with other variants.
type Variant struct {
	Name string
	Text []byte
}

// MakeVariants returns a variant of a scenario for each combination of values. values[i] holds the values of keys[i], as
// YAML. A key is a path such as fleet.workers or settings.groups[0].slo.
func MakeVariants(text []byte, keys []string, values [][]string) ([]Variant, error) {
	variants := []Variant{{Text: text}}
	for i, key := range keys {
		var next []Variant
		for _, v := range variants {
			for _, value := range values[i] {
				changed, err := setKey(v.Text, key, value)
				if err != nil {
					return nil, err
				}
				next = append(next, Variant{strings.TrimSpace(v.Name + " " + key + "=" + value), changed})
			}
		}
		variants = next
	}
	return variants, nil
}

// setKey sets a key of a YAML text to a value written as YAML. Missing parent maps are created.
func setKey(text []byte, key, value string) ([]byte, error) {
	var tree, parsed any
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	if err := yaml.Unmarshal([]byte(value), &parsed); err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	steps := strings.Split(strings.NewReplacer("[", ".", "]", "").Replace(key), ".")
	node := tree
	for i, step := range steps {
		isLast := i == len(steps)-1
		switch container := node.(type) {
		case map[string]any:
			if isLast {
				container[step] = parsed
			} else if container[step] == nil {
				container[step] = map[string]any{}
			}
			node = container[step]
		case []any:
			var index int
			if _, err := fmt.Sscanf(step, "%d", &index); err != nil || index < 0 || index >= len(container) {
				return nil, fmt.Errorf("%s: the list has no item %s", key, step)
			}
			if isLast {
				container[index] = parsed
			}
			node = container[index]
		default:
			return nil, fmt.Errorf("%s: the parent of %s is neither a map nor a list", key, step)
		}
	}
	return yaml.Marshal(tree)
}
