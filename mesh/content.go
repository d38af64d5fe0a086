package mesh

import (
	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// maxContents is the number of contents of a list that are kept: that of the present copy, and
// those that neighbours may still have.
const maxContents = 3

// contents holds the latest contents of one list, the newest last.
type contents []content

type content struct {
	digest Digest
	text   []byte
}

// add adds the present content, if it is large, and returns its digest.
func (c *contents) add(text []byte) Digest {
	if len(text) <= wholeSize {
		return 0
	}
	for _, old := range *c {
		if len(old.text) == len(text) && &old.text[0] == &text[0] {
			return old.digest
		}
	}
	digest := Digest(xxhash.Sum64(text))
	if c.get(digest) == nil {
		*c = append(*c, content{digest, text})
		*c = (*c)[max(0, len(*c)-maxContents):]
	}
	return digest
}

// get returns the content with a digest, or nil.
func (c *contents) get(digest Digest) []byte {
	for _, known := range *c {
		if known.digest == digest {
			return known.text
		}
	}
	return nil
}

// dictionaryID is the ID of the only dictionary of a packed update.
const dictionaryID = 1

// compress compresses a text. What it has in common with base takes nearly no space. It returns
// nothing if it fails.
func compress(text, base []byte) []byte {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowFor(len(base) + len(text)))}
	if base == nil {
		options = append(options, zstd.WithEncoderLevel(zstd.SpeedFastest))
	} else {
		// The table of SpeedFastest is too small for a large dictionary.
		options = append(options, zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil
	}
	defer func() { _ = e.Close() }() // writes nothing
	return e.EncodeAll(text, nil)
}

// windowFor returns a window that covers a number of bytes.
func windowFor(size int) int {
	window := zstd.MinWindowSize
	for window < size && window < maxUnpacked {
		window *= 2
	}
	return window
}

// decompress reverses compress. The result has at most maxUnpacked bytes.
func decompress(data, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked), zstd.WithDecoderMaxWindow(maxUnpacked)}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(data, nil)
}
