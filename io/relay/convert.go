package relay

import (
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"verbenaway/core"
	"verbenaway/io/wire"
)

const (
	// packedBytes is the size from which values are compressed. Entries of upstreams stay as
	// they are; the configuration shrinks to a tenth, which matters on slow links.
	packedBytes = 2 << 10
	// maxValueBytes bounds a value after decompression.
	maxValueBytes = 4 << 20
)

// packer converts answers. It keeps the latest large value compressed, because all followers
// of a zone ask for the same one.
type packer struct {
	mu       sync.Mutex
	encoder  *zstd.Encoder
	key      string
	revision uint64
	packed   []byte
}

func (p *packer) answer(answer core.FollowAnswer) *wire.FollowAnswer {
	message := &wire.FollowAnswer{
		Revision:     answer.Revision,
		ContactAgeMs: answer.ContactAge.Milliseconds(),
		Items:        make([]*wire.RegistryItem, len(answer.Items)),
	}
	if answer.ContactAge < 0 {
		message.ContactAgeMs = -1
	}
	for i, item := range answer.Items {
		message.Items[i] = &wire.RegistryItem{
			Key:      item.Key,
			Revision: item.Revision,
			IsDelete: item.IsDelete,
			Value:    item.Value,
		}
		if len(item.Value) >= packedBytes {
			message.Items[i].Value = p.pack(item)
			message.Items[i].IsPacked = true
		}
	}
	return message
}

// pack returns the compressed value of an item.
func (p *packer) pack(item core.RegistryItem) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.key == item.Key && p.revision == item.Revision {
		return p.packed
	}
	if p.encoder == nil {
		// The options are constants, for which NewWriter returns no error.
		p.encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(zstd.MinWindowSize<<7))
	}
	p.key, p.revision = item.Key, item.Revision
	p.packed = p.encoder.EncodeAll(item.Value, nil)
	return p.packed
}

// unpack returns the value of a compressed one.
func unpack(packed []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValueBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(packed, nil)
}

// toAnswer converts a message.
func toAnswer(message *wire.FollowAnswer) (core.FollowAnswer, error) {
	answer := core.FollowAnswer{
		RegistryAnswer: core.RegistryAnswer{
			Revision: message.Revision,
			Items:    make([]core.RegistryItem, len(message.Items)),
		},
		ContactAge: time.Duration(message.ContactAgeMs) * time.Millisecond,
	}
	for i, item := range message.Items {
		value := item.Value
		if item.IsPacked {
			var err error
			if value, err = unpack(value); err != nil {
				return core.FollowAnswer{}, core.Errorf(core.PeerMalformed, "value of %s: %v", item.Key, err)
			}
		}
		answer.Items[i] = core.RegistryItem{
			Key:      item.Key,
			Revision: item.Revision,
			IsDelete: item.IsDelete,
			Value:    value,
		}
	}
	return answer, nil
}
