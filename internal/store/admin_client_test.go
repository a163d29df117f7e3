package store

import (
	"errors"
	"net/http"
	"testing"

	"micaport/internal/kv"
	"micaport/internal/msgpackhttp"
	"micaport/internal/wire"
)

// List fetches all pages and returns the records by key, without those that can't be decoded.
func TestAdminListFollowsPages(t *testing.T) {
	address := startService(t, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if r.URL.Path != "/store" || query.Get("starts") != wire.JobPrefix {
			t.Errorf("received %s", r.URL)
		}
		switch query.Get("from") {
		case "":
			msgpackhttp.Respond(w, http.StatusOK, object{"rows": []any{object{"k": "m/j/wk-1", "v": object{"n": 2}, "key_rev": 3}}, "has_next": true})
		case "m/j/wk-1":
			msgpackhttp.Respond(w, http.StatusOK, object{"rows": []any{object{"k": "m/j/wk-2", "v": object{"n": 5}, "key_rev": 4},
				object{"k": "m/j/wk-3", "v": "damaged", "key_rev": 5}}})
		default:
			t.Errorf("request for the page after %q", query.Get("from"))
		}
	})
	records, err := NewAdminClient(address).List(t.Context(), wire.JobPrefix)
	if err != nil || len(records) != 2 || records["m/j/wk-1"].Revision != 3 || records["m/j/wk-2"].Value.(*wire.Job).TaskCount != 5 {
		t.Errorf("got %+v, %v", records, err)
	}
}

// The errors of Commit distinguish changes that were not made from those that may have been.
func TestAdminErrors(t *testing.T) {
	for _, test := range []struct {
		status int
		want   error
		text   string
	}{
		{http.StatusOK, nil, ""},
		{http.StatusConflict, ErrConflict, "a record has changed meanwhile: [m/a]"},
		{http.StatusBadRequest, ErrUnreachable, "the state service can't be reached: refused"},
		{http.StatusServiceUnavailable, ErrUnreachable, "the state service can't be reached: refused"},
		{http.StatusInternalServerError, ErrUncertain, ErrUncertain.Error()},
	} {
		address := startService(t, func(w http.ResponseWriter, _ *http.Request) {
			msgpackhttp.Respond(w, test.status, object{"failed": []string{"m/a"}})
		})
		err := NewAdminClient(address).Commit(t.Context(), nil, []kv.Write{{Key: "m/a"}})
		if !errors.Is(err, test.want) || (err != nil && err.Error() != test.text) {
			t.Errorf("status %d: got %v, want %q", test.status, err, test.text)
		}
	}
	address := startService(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	_, err := NewAdminClient(address).List(t.Context(), wire.Prefix)
	var status *StatusError
	if !errors.Is(err, ErrUnreachable) || !errors.As(err, &status) || status.Status != http.StatusServiceUnavailable {
		t.Errorf("listing refused with 503: %v", err)
	}
}
