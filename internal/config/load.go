package config

import "os"

// Load reads and checks a settings file. An error is of type Problems.
func Load(file string) (*Config, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse decodes and checks settings. An error is of type Problems; file is used in messages only.
func Parse(file string, text []byte) (*Config, error) {
	cfg := Default()
	source, err := Decode(file, text, &cfg)
	if err != nil {
		return nil, err
	}
	err = source.err()
	if err != nil { // Check would report a quantity that cannot be parsed a second time
		return nil, err
	}
	cfg.Check(source, "$")
	err = source.err()
	if err != nil {
		return nil, err
	}
	return &cfg, nil
}

// LoadWorkers reads and checks a worker file. An error is of type Problems.
func LoadWorkers(file string) ([]Worker, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ParseWorkers(file, text)
}

// ParseWorkers decodes and checks a worker file: a mapping with one key, workers. An error is of type Problems; file is
// used in messages only.
func ParseWorkers(file string, text []byte) ([]Worker, error) {
	var content struct {
		Workers []Worker `yaml:"workers"`
	}
	source, err := Decode(file, text, &content)
	if err != nil {
		return nil, err
	}
	check := &checker{source: source, root: "$"}
	check.workers(content.Workers)
	err = source.err()
	if err != nil {
		return nil, err
	}
	return content.Workers, nil
}

func readFile(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Problems{{File: file, Text: err.Error()}}
	}
	return text, nil
}
