package opctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"verbenaway/core"
	"verbenaway/core/note"
	"verbenaway/core/snap"
)

const (
	storeTimeout = 10 * time.Second
	// maxBodyBytes leaves room for a watch answer with 1 MB of values in base64.
	maxBodyBytes = 8 << 20
)

// storeOptions are the options of the subcommands that access the store.
type storeOptions struct {
	Store string `long:"store" value-name:"URL" required:"true" description:"address of the store, such as http://127.0.0.1:7000"`
}

// storeClient reads and writes the store. Its errors have one of the kinds storeDown, storeBusy,
// storeStale and storeMalformed.
type storeClient struct {
	base *sling.Sling
}

func newStoreClient(options storeOptions) storeClient {
	client := &http.Client{
		Timeout: storeTimeout,
	}
	return storeClient{
		base: sling.New().Client(client).Base(strings.TrimSuffix(options.Store, "/") + "/").ResponseDecoder(rawDecoder{}),
	}
}

// rawDecoder returns the body of a response unchanged.
type rawDecoder struct{}

// Decode reads the body into destination, a *[]byte, and fails if it exceeds maxBodyBytes.
func (rawDecoder) Decode(response *http.Response, destination any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = fmt.Errorf("the answer of the store exceeds %d bytes", maxBodyBytes)
	}
	*destination.(*[]byte) = body
	return err
}

// send returns the body and the status of the response. A status that is not in accepted is an
// error.
func send(request *sling.Sling, accepted ...int) (body []byte, status int, err error) {
	response, err := request.Receive(&body, nil)
	if err != nil {
		return nil, 0, core.Errorf(core.StoreDown, "%v", err)
	}
	for _, code := range accepted {
		if response.StatusCode == code {
			return body, code, nil
		}
	}
	kind := core.StoreMalformed
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		kind = core.StoreBusy
	case response.StatusCode >= http.StatusInternalServerError:
		kind = core.StoreDown
	}
	return nil, response.StatusCode, core.Errorf(kind, "the store answered %s to %s %s", response.Status, response.Request.Method, response.Request.URL.Redacted())
}

func (s storeClient) value(key string) (value []byte, found bool, err error) {
	body, status, err := send(s.base.New().Get("v1/values/"+key), http.StatusOK, http.StatusNotFound)
	return body, status == http.StatusOK, err
}

// watchQuery requests the notes after a key. WaitMs 0 returns at once if there are none.
type watchQuery struct {
	Prefix string `url:"prefix"`
	After  string `url:"after"`
	WaitMs int    `url:"waitMs"`
}

// notesAfter returns the notes after a version that the store sends in one answer, a JSON list of
// core.KeyValue. It is empty after the newest note.
func (s storeClient) notesAfter(version core.Version) ([]core.KeyValue, error) {
	query := watchQuery{
		Prefix: note.KeyPrefix,
		After:  note.Key(version),
	}
	body, status, err := send(s.base.New().Get("v1/watch").QueryStruct(query), http.StatusOK, http.StatusNoContent)
	if err != nil || status == http.StatusNoContent {
		return nil, err
	}
	var values []core.KeyValue
	if err = json.Unmarshal(body, &values); err != nil {
		return nil, core.Errorf(core.StoreMalformed, "watch answer: %v", err)
	}
	return values, nil
}

// create writes a value if the key does not exist yet.
func (s storeClient) create(key string, value []byte) (created bool, err error) {
	request := s.base.New().Put("v1/values/"+key).Set("If-None-Match", "*").Body(bytes.NewReader(value))
	_, status, err := send(request, http.StatusCreated, http.StatusPreconditionFailed)
	return status == http.StatusCreated, err
}

// replace writes a value and overwrites an existing one.
func (s storeClient) replace(key string, value []byte) error {
	request := s.base.New().Put("v1/values/" + key).Body(bytes.NewReader(value))
	_, _, err := send(request, http.StatusOK, http.StatusCreated, http.StatusNoContent)
	return err
}

// loadSnapshot returns the newest configuration: the checkpoint with all later notes applied.
func (s storeClient) loadSnapshot() (*core.Snapshot, error) {
	snapshot, err := s.loadCheckpoint()
	if err != nil {
		return nil, err
	}
	for {
		values, err := s.notesAfter(snapshot.Version)
		if err != nil || len(values) == 0 {
			return snapshot, err
		}
		for _, value := range values {
			number, err := note.KeyVersion(value.Key)
			if err != nil || number != snapshot.Version+1 {
				return nil, core.Errorf(core.StoreMalformed, "key %q follows note %d", value.Key, snapshot.Version)
			}
			snapshot, _ = snap.Fold(snapshot, number, value.Value, time.Time{})
		}
	}
}

// loadCheckpoint returns the snapshot of the newest checkpoint, or an empty one if there is none.
// It fails if the note of the checkpoint's version is missing: the store was rolled back then, and
// newly published notes would reuse the numbers of lost ones.
func (s storeClient) loadCheckpoint() (*core.Snapshot, error) {
	data, found, err := s.value(note.CheckpointKey)
	if err != nil || !found {
		return snap.Empty(""), err
	}
	snapshot, err := decodeCheckpoint(data)
	if err != nil || snapshot.Version == 0 {
		return snapshot, err
	}
	_, found, err = s.value(note.Key(snapshot.Version))
	if err == nil && !found {
		err = core.Errorf(core.StoreStale, "the checkpoint has version %d, whose note is missing", snapshot.Version)
	}
	return snapshot, err
}
