package main

import (
	"errors"
	"io"
	"os"
)

// readFile opens a file, passes it to read, and closes it. It returns the value that read returns.
func readFile[T any](path string, read func(io.Reader) (T, error)) (T, error) {
	f, err := os.Open(path)
	if err != nil {
		var zero T
		return zero, err
	}
	content, err := read(f)
	return content, errors.Join(err, f.Close())
}

// writeFile creates a file or truncates an existing one, passes it to write, and closes it.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
