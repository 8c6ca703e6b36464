package discovery

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// deflatedValueBytes is the size from which hosts exchange values compressed.
	// maxInflatedBytes bounds what a compressed one may hold; the store's own values are
	// smaller.
	deflatedValueBytes = 2 << 10
	maxInflatedBytes   = 4 << 20
)

// deflate compresses a value.
func deflate(value []byte) []byte {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		// The level is valid, so this does not happen.
		panic(err)
	}
	// Writes to a buffer never return an error.
	_, _ = w.Write(value)
	_ = w.Close()
	return compressed.Bytes()
}

// inflate returns the value that deflate compressed.
func inflate(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	defer r.Close()
	value, err := io.ReadAll(io.LimitReader(r, maxInflatedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a value from another host")
	}
	if len(value) > maxInflatedBytes {
		return nil, errors.Newf("a compressed value has over %d bytes; run the same version on all hosts", maxInflatedBytes)
	}
	return value, nil
}
