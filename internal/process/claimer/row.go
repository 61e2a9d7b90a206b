package claimer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// The states of a row. Held means that the request may be running or may have
// run; done, that its outcome is known; void, that it was never dispatched.
const (
	stateHeld = "held"
	stateDone = "done"
	stateVoid = "void"
)

// row is the stored form of a claim. Time is in Unix seconds and serves only
// operators who remove old rows.
type row struct {
	ID     string      `json:"id"`
	Print  string      `json:"print"`
	Host   string      `json:"host"`
	State  string      `json:"state"`
	Time   int64       `json:"time"`
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	Object string      `json:"object,omitempty"`
}

func (k Key) row() string {
	return "claim/" + url.PathEscape(k.Service) + "/" + url.PathEscape(k.ClientAccount) + "/" + url.PathEscape(k.Key)
}

// read returns the row and its revision, or nil if there is none.
func (c *Claimer) read(ctx context.Context, key Key) (*row, string, error) {
	stored, err := c.store.Get(ctx, key.row())
	if err != nil {
		if classifier.Of(err) == classifier.NotFound {
			return nil, "", nil
		}
		return nil, "", classifier.StoreDown.Wrap(err, "read claim")
	}
	r := new(row)
	if err := json.Unmarshal(stored.Value, r); err != nil {
		return nil, "", classifier.InDoubt.Wrap(err, "claim row can't be read")
	}
	return r, stored.Revision, nil
}

func (c *Claimer) put(ctx context.Context, key Key, revision string, r *row) (string, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return "", classifier.Internal.Wrap(err, "encode claim")
	}
	return c.store.Put(ctx, key.row(), revision, value)
}

// answer returns the outcome in a row that is done. An outcome whose body
// can't be read now is in doubt for the caller, because the request did run.
func (c *Claimer) answer(ctx context.Context, r *row) (*Response, error) {
	a := &Response{status: r.Status, header: r.Header, body: r.Body}
	if r.Object == "" {
		return a, nil
	}
	body, err := c.store.Load(ctx, r.Object)
	if err != nil {
		return nil, classifier.InDoubt.Wrap(err, "the request ran, but its stored answer can't be read now")
	}
	a.body = body
	return a, nil
}
