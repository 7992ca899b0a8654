package main

import (
	"errors"
	"io"
	"os"
)

// readFile opens a file, reads it by a function, and closes it.
func readFile[T any](path string, read func(io.Reader) (T, error)) (T, error) {
	f, err := os.Open(path)
	if err != nil {
		var zero T
		return zero, err
	}
	content, err := read(f)
	return content, errors.Join(err, f.Close())
}

// writeFile creates a file or empties it, writes it by a function, and closes it.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
