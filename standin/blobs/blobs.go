// Package blobs simulates the object store. It implements PutObject, GetObject, DeleteObject and ListObjectsV2 of the S3
// API with path-style buckets.
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

// MaxObjectBytes is the maximum size of an object in bytes.
const MaxObjectBytes = 64 << 20

// MaxKeysPerPage is the maximum number of keys in one page of a listing.
const MaxKeysPerPage = 1000

// Store is an in-memory object store. It implements http.Handler.
type Store struct {
	faults *faults.Set

	mu      sync.Mutex
	objects map[string][]byte
}

// New creates an empty store to which the active faults in f apply.
func New(f *faults.Set) *Store {
	return &Store{faults: f, objects: map[string][]byte{}}
}

// apiError is the XML body of an error response of the S3 API.
type apiError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

// listResult is the XML body of the response of ListObjectsV2.
type listResult struct {
	XMLName               xml.Name `xml:"ListBucketResult"`
	Name                  string
	Prefix                string
	KeyCount              int
	MaxKeys               int
	IsTruncated           bool
	NextContinuationToken string `xml:",omitempty"`
	Contents              []objectEntry
}

// objectEntry is one object in a listResult.
type objectEntry struct {
	Key  string
	Size int
}

// ServeHTTP handles one S3 API call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	component := faults.Component{Peer: faults.Object}
	s.faults.Delay(r.Context(), component)
	if _, ok := s.faults.Trigger(component, faults.Cut); ok {
		faults.Abort()
	}
	if _, ok := s.faults.Trigger(component, faults.Down); ok {
		writeError(w, http.StatusInternalServerError, "InternalError", "the store is down")
		return
	}
	if _, ok := s.faults.Trigger(component, faults.Throttle); ok {
		writeError(w, http.StatusServiceUnavailable, "SlowDown", "reduce your request rate")
		return
	}
	bucket, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case bucket == "":
		writeError(w, http.StatusNotImplemented, "NotImplemented", "no bucket is named")
	case r.Method == http.MethodPut && key != "":
		s.putObject(w, r, bucket+"/"+key)
	case r.Method == http.MethodGet && key != "":
		s.getObject(w, bucket+"/"+key)
	case r.Method == http.MethodDelete && key != "":
		s.deleteObject(w, bucket+"/"+key)
	case r.Method == http.MethodGet && r.URL.Query().Get("list-type") == "2":
		s.listObjects(w, r, bucket)
	default:
		writeError(w, http.StatusNotImplemented, "NotImplemented", "the operation is not served")
	}
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request, objectPath string) {
	if strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING") {
		writeError(w, http.StatusNotImplemented, "NotImplemented", "streaming signatures are not served")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxObjectBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	s.mu.Lock()
	s.objects[objectPath] = body
	s.mu.Unlock()
	if _, ok := s.faults.Trigger(faults.Component{Peer: faults.Object}, faults.LoseAnswer); ok {
		faults.Abort()
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Store) getObject(w http.ResponseWriter, objectPath string) {
	s.mu.Lock()
	body, ok := s.objects[objectPath]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "NoSuchKey", "the key does not exist")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (s *Store) deleteObject(w http.ResponseWriter, objectPath string) {
	s.mu.Lock()
	delete(s.objects, objectPath)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// listObjects writes one page of a bucket's listing in the order of the keys. The continuation token of a page is the
// last key of the previous page.
func (s *Store) listObjects(w http.ResponseWriter, r *http.Request, bucket string) {
	query := r.URL.Query()
	result := listResult{Name: bucket, Prefix: query.Get("prefix"), MaxKeys: MaxKeysPerPage}
	s.mu.Lock()
	for name, body := range s.objects {
		key, ok := strings.CutPrefix(name, bucket+"/")
		if ok && strings.HasPrefix(key, result.Prefix) && key > query.Get("continuation-token") {
			result.Contents = append(result.Contents, objectEntry{Key: key, Size: len(body)})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(result.Contents, func(a, b objectEntry) int { return strings.Compare(a.Key, b.Key) })
	if len(result.Contents) > MaxKeysPerPage {
		result.Contents = result.Contents[:MaxKeysPerPage]
		result.IsTruncated = true
		result.NextContinuationToken = result.Contents[MaxKeysPerPage-1].Key
	}
	result.KeyCount = len(result.Contents)
	writeXML(w, http.StatusOK, result)
}

// writeError writes an error response of the S3 API.
func writeError(w http.ResponseWriter, status int, code, message string) {
	writeXML(w, status, apiError{Code: code, Message: message})
}

// writeXML writes body as an XML response.
func writeXML(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(body)
}
