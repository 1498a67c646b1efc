package admin_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"verbenaway/io/admin"
)

// TestStatusWithoutAnswer guards against a daemon whose control plane does not answer and which
// nevertheless reports a status, with empty fields.
func TestStatusWithoutAnswer(t *testing.T) {
	handler := admin.NewHandler(admin.Config{
		Status: func() (admin.Status, error) {
			return admin.Status{}, errors.New("the agent does not answer")
		},
	})
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/status", nil))
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, recorder.Body.String(), qt.Equals, "the agent does not answer\n")
}
