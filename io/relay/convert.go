package relay

import (
	"bytes"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"

	"verbenaway/core"
	"verbenaway/io/wire"
)

const (
	// minCompressBytes is the size from which values are compressed. Upstream records are
	// smaller; the configuration shrinks to a tenth, which matters on slow links.
	minCompressBytes = 2 << 10
	// maxValueBytes bounds a value after decompression.
	maxValueBytes = 4 << 20
)

// answerEncoder converts answers to messages. It caches the last compressed value, because all
// followers of a zone ask for the same one.
type answerEncoder struct {
	mu         sync.Mutex
	encoder    *zstd.Encoder
	value      []byte
	compressed []byte
}

func (e *answerEncoder) encode(answer core.FollowAnswer) *wire.FollowAnswer {
	message := &wire.FollowAnswer{
		Epoch:        answer.Epoch,
		Revision:     answer.Revision,
		ContactAgeMs: answer.ContactAge.Milliseconds(),
		GapBefore:    answer.GapBefore,
		Items:        make([]*wire.RegistryItem, len(answer.Items)),
	}
	// -1 ns, which means no contact, would be 0 in milliseconds.
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
		if len(item.Value) >= minCompressBytes {
			message.Items[i].Value = e.compress(item)
			message.Items[i].IsPacked = true
		}
	}
	return message
}

func (e *answerEncoder) compress(item core.RegistryItem) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if bytes.Equal(e.value, item.Value) {
		return e.compressed
	}
	if e.encoder == nil {
		// The options are constants, for which NewWriter returns no error.
		e.encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(zstd.MinWindowSize<<7))
	}
	e.value = item.Value
	e.compressed = e.encoder.EncodeAll(item.Value, nil)
	return e.compressed
}

// decompress returns the original value of a compressed one.
func decompress(compressed []byte) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValueBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(compressed, nil)
}

func decodeAnswer(message *wire.FollowAnswer) (core.FollowAnswer, error) {
	answer := core.FollowAnswer{
		RegistryAnswer: core.RegistryAnswer{
			StorePosition: core.StorePosition{
				Epoch:    message.Epoch,
				Revision: message.Revision,
			},
			Items: make([]core.RegistryItem, len(message.Items)),
		},
		ContactAge: time.Duration(message.ContactAgeMs) * time.Millisecond,
		GapBefore:  message.GapBefore,
	}
	for i, item := range message.Items {
		value := item.Value
		if item.IsPacked {
			var err error
			if value, err = decompress(value); err != nil {
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
