package fleet

import (
	"bytes"
	"net/http"

	"verbenaway/core"
	"verbenaway/core/note"
)

// RestoreNotes writes all published notes to the store again, with the same bytes.
func (f *Fleet) RestoreNotes() {
	for i, text := range f.publishedNotes {
		f.Store.Put(note.Key(core.Version(i+1)), text)
	}
}

// PutIfAbsent writes a value through the HTTP interface of the store, as operators do; created is
// false if the key exists. It does not change the version of the next Publish.
func (f *Fleet) PutIfAbsent(key string, value []byte) (created bool, err error) {
	request, err := http.NewRequest(http.MethodPut, f.StoreURL()+"/v1/values/"+key, bytes.NewReader(value))
	if err != nil {
		return false, err
	}
	request.Header.Set("If-None-Match", "*")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusCreated:
		return true, nil
	case http.StatusPreconditionFailed:
		return false, nil
	}
	return false, core.Errorf(core.StoreMalformed, "PUT %s: status %s", key, answer.Status)
}
