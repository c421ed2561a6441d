package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
)

// printJSON prints a value to standard output as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printJSONLine prints a value to standard output as JSON on one line.
func printJSONLine(value any) error { return json.NewEncoder(os.Stdout).Encode(value) }

// writeOutput writes text to a file, or to standard output if file is empty.
func writeOutput(file string, text []byte) error {
	if file == "" {
		_, err := os.Stdout.Write(text)
		return err
	}
	return os.WriteFile(file, text, 0o644)
}

// createFile creates a file and calls write to fill it. It returns the errors of write and of closing the file.
func createFile(file string, write func(io.Writer) error) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// writeJSONLines writes the values to a file, one JSON line each.
func writeJSONLines[T any](file string, values []T) error {
	return createFile(file, func(w io.Writer) error {
		buffer := bufio.NewWriter(w)
		encoder := json.NewEncoder(buffer)
		for _, value := range values {
			if err := encoder.Encode(value); err != nil {
				return err
			}
		}
		return buffer.Flush()
	})
}
