package proxy

import (
	"io"
	"net/http"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes bound the reading of a request body after the answer.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 4 << 20
)

// linger sends the answer and then reads the rest of a request body until the sender has received
// the answer and closes the connection. If the connection were closed with unread bytes, it would
// be reset, and the sender could lose the answer. The server does the same itself, but not for
// requests with "Expect: 100-continue" or after a read that was interrupted.
func linger(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer := copyBuffers.get()
	defer copyBuffers.put(buffer)
	for left := maxLingerBytes; left > 0; {
		n, err := body.Read(*buffer)
		if err != nil {
			return
		}
		left -= n
	}
}
