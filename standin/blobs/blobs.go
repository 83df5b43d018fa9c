// Package blobs plays the object store: PutObject, GetObject, DeleteObject and ListObjectsV2 of the S3 API with
// path-style buckets.
package blobs

import (
	"encoding/xml"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/sardineline/sardineline/standin/faults"
)

// MaxObjectBytes is the largest object in bytes.
const MaxObjectBytes = 64 << 20

// MaxKeysPerPage is the most keys of one page of a list.
const MaxKeysPerPage = 1000

// Store is the object store as an http.Handler.
type Store struct {
	faults *faults.Set

	mu      sync.Mutex
	objects map[string][]byte
}

// New makes an empty store.
func New(f *faults.Set) *Store {
	return &Store{faults: f, objects: map[string][]byte{}}
}

type apiError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

type listResult struct {
	XMLName               xml.Name `xml:"ListBucketResult"`
	Name                  string
	Prefix                string
	KeyCount              int
	MaxKeys               int
	IsTruncated           bool
	NextContinuationToken string `xml:",omitempty"`
	Contents              []content
}

type content struct {
	Key  string
	Size int
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := faults.Component{Peer: faults.Object}
	s.faults.Delay(r.Context(), at)
	if _, ok := s.faults.Trigger(at, faults.Cut); ok {
		faults.Abort()
	}
	if _, ok := s.faults.Trigger(at, faults.Down); ok {
		fail(w, http.StatusInternalServerError, "InternalError", "the store is down")
		return
	}
	if _, ok := s.faults.Trigger(at, faults.Throttle); ok {
		fail(w, http.StatusServiceUnavailable, "SlowDown", "reduce your request rate")
		return
	}
	bucket, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case bucket == "":
		fail(w, http.StatusNotImplemented, "NotImplemented", "no bucket is named")
	case r.Method == http.MethodPut && key != "":
		s.put(w, r, bucket+"/"+key)
	case r.Method == http.MethodGet && key != "":
		s.get(w, bucket+"/"+key)
	case r.Method == http.MethodDelete && key != "":
		s.remove(w, bucket+"/"+key)
	case r.Method == http.MethodGet && r.URL.Query().Get("list-type") == "2":
		s.list(w, r, bucket)
	default:
		fail(w, http.StatusNotImplemented, "NotImplemented", "the operation is not served")
	}
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, name string) {
	if strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING") {
		fail(w, http.StatusNotImplemented, "NotImplemented", "streaming signatures are not served")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxObjectBytes))
	if err != nil {
		fail(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	s.mu.Lock()
	s.objects[name] = body
	s.mu.Unlock()
	if _, ok := s.faults.Trigger(faults.Component{Peer: faults.Object}, faults.LoseAnswer); ok {
		faults.Abort()
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Store) get(w http.ResponseWriter, name string) {
	s.mu.Lock()
	body, ok := s.objects[name]
	s.mu.Unlock()
	if !ok {
		fail(w, http.StatusNotFound, "NoSuchKey", "the key does not exist")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (s *Store) remove(w http.ResponseWriter, name string) {
	s.mu.Lock()
	delete(s.objects, name)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, bucket string) {
	query := r.URL.Query()
	result := listResult{Name: bucket, Prefix: query.Get("prefix"), MaxKeys: MaxKeysPerPage}
	s.mu.Lock()
	for name, body := range s.objects {
		key, ok := strings.CutPrefix(name, bucket+"/")
		if ok && strings.HasPrefix(key, result.Prefix) && key > query.Get("continuation-token") {
			result.Contents = append(result.Contents, content{Key: key, Size: len(body)})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(result.Contents, func(a, b content) int { return strings.Compare(a.Key, b.Key) })
	if len(result.Contents) > MaxKeysPerPage {
		result.Contents = result.Contents[:MaxKeysPerPage]
		result.IsTruncated = true
		result.NextContinuationToken = result.Contents[MaxKeysPerPage-1].Key
	}
	result.KeyCount = len(result.Contents)
	answer(w, http.StatusOK, result)
}

func fail(w http.ResponseWriter, status int, code, message string) {
	answer(w, status, apiError{Code: code, Message: message})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(body)
}
