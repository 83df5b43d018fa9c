package worker_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/worker"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/ledger"
	"github.com/sardineline/sardineline/standin/worker"
)

// shortLease is the duration of the leases of parts in the tests.
const shortLease = ident.Duration(5 * time.Second)

// harness is a worker with its ledger and faults.
type harness struct {
	t      *testing.T
	worker *worker.Worker
	ledger *ledger.Ledger
	faults *faults.Set
}

// newHarness creates a worker with 8 accelerators and no faults.
func newHarness(t *testing.T) *harness {
	h := &harness{t: t, ledger: ledger.New(nil), faults: faults.New(1)}
	h.worker = worker.New(worker.Config{
		Name: "w0", Rack: "r1", DataCentre: "dc", Accelerators: 8, Faults: h.faults, Ledger: h.ledger,
	})
	return h
}

// call sends in to the path of the worker protocol, decodes the response into out and returns the HTTP status, which is
// 0 if the connection was closed.
func (h *harness) call(path string, in, out any) (status int) {
	h.t.Helper()
	body, err := json.Marshal(in)
	assert.NilError(h.t, err)
	answer := httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil {
			assert.Equal(h.t, cause, any(http.ErrAbortHandler))
			status = 0
		}
	}()
	h.worker.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	if out != nil {
		assert.NilError(h.t, json.Unmarshal(answer.Body.Bytes(), out))
	}
	return answer.Code
}

// startPart reserves and starts a part that runs command. If checkpoint is not empty, the part resumes from it.
func (h *harness) startPart(command, checkpoint string) wire.Part {
	h.t.Helper()
	part := wire.Part{Job: "j", Attempt: 1}
	spec := wire.Spec{Command: command, Checkpoint: checkpoint, Checkpointable: true, Parts: 1}
	reserve := wire.ReserveRequest{Epoch: 1, Part: part, Accelerators: 0xff, Lease: shortLease, Spec: spec}
	assert.Equal(h.t, h.call("/v1/reserve", reserve, nil), http.StatusOK)
	assert.Equal(h.t, h.call("/v1/start", wire.StartRequest{Epoch: 1, Part: part}, nil), http.StatusOK)
	return part
}

// reportedPart returns the only part in the worker's report.
func (h *harness) reportedPart() wire.PartReport {
	h.t.Helper()
	var report wire.Report
	assert.Equal(h.t, h.call("/v1/report", wire.FenceRequest{Epoch: 1}, &report), http.StatusOK)
	assert.Equal(h.t, len(report.Parts), 1)
	return report.Parts[0]
}

func TestPartRunsToItsEnd(t *testing.T) {
	tests := []struct {
		name, command, checkpoint string
		after                     time.Duration
		want                      ident.PartState
	}{
		{"succeeds", "run 2s", "", 3 * time.Second, ident.PartDone},
		{"fails", "fail 500ms", "", time.Second, ident.PartFailed},
		{"still running", "run 4s", "", 3 * time.Second, ident.PartRunning},
		{"resumes from checkpoint", "run 4s", "j/1/w0/2000", 3 * time.Second, ident.PartDone},
		{"lease expires", "run 10s", "", 6 * time.Second, ident.PartStopped},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.startPart(tt.command, tt.checkpoint)
				time.Sleep(tt.after)
				synctest.Wait()
				assert.Equal(t, h.reportedPart().State, tt.want)
			})
		})
	}
}

func TestCallsAreIdempotentAndFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		part := h.startPart("run 2s", "")
		h.startPart("run 2s", "")
		var refused wire.ErrorReply
		other := wire.ReserveRequest{
			Epoch: 1, Part: wire.Part{Job: "k", Attempt: 1}, Accelerators: 1, Lease: shortLease, Spec: wire.Spec{Command: "run 1s"},
		}
		assert.Equal(t, h.call("/v1/reserve", other, &refused), http.StatusConflict)
		assert.Equal(t, refused.Code, wire.Occupied)
		assert.Equal(t, h.call("/v1/fence", wire.FenceRequest{Epoch: 2}, nil), http.StatusOK)
		assert.Equal(t, h.call("/v1/stop", wire.StopRequest{Epoch: 1, Part: part}, &refused), http.StatusConflict)
		assert.Equal(t, refused.Code, wire.StaleEpoch)
		assert.Equal(t, refused.Epoch, ident.Epoch(2))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		report := h.ledger.Report()
		assert.Equal(t, len(report.Attempts[0].Runs), 1)
		assert.Equal(t, report.Totals.JobsCompleted, 1)
	})
}

func TestStopBeforeReserve(t *testing.T) {
	h := newHarness(t)
	part := wire.Part{Job: "j", Attempt: 1}
	assert.Equal(t, h.call("/v1/stop", wire.StopRequest{Epoch: 1, Part: part}, nil), http.StatusOK)
	h.startPart("run 2s", "")
	assert.Equal(t, h.reportedPart().State, ident.PartStopped)
}

func TestRenewWaitsForChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		part := h.startPart("run 2s", "")
		var report wire.Report
		renew := wire.RenewRequest{Epoch: 1, Parts: []wire.Part{part}, Lease: shortLease, Wait: ident.Duration(time.Minute)}
		assert.Equal(t, h.call("/v1/renew", renew, &report), http.StatusOK)
		renew.Seen = report.Sequence
		started := time.Now()
		assert.Equal(t, h.call("/v1/renew", renew, &report), http.StatusOK)
		assert.Equal(t, report.Parts[0].State, ident.PartDone)
		assert.Equal(t, time.Since(started), 2*time.Second)
		renew.Seen = report.Sequence
		started = time.Now()
		assert.Equal(t, h.call("/v1/renew", renew, &report), http.StatusOK)
		assert.Equal(t, time.Since(started), time.Minute)
	})
}

func TestForgottenPartIsNeitherReportedNorRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		part := h.startPart("run 1s", "")
		renew := wire.RenewRequest{Epoch: 1, Parts: []wire.Part{part}, Lease: shortLease, Forget: []wire.Part{part}}
		assert.Equal(t, h.call("/v1/renew", renew, nil), http.StatusOK)
		assert.Equal(t, h.reportedPart().State, ident.PartRunning)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		var report wire.Report
		assert.Equal(t, h.call("/v1/renew", renew, &report), http.StatusOK)
		assert.Equal(t, len(report.Parts), 0)
		h.startPart("run 1s", "")
		assert.Equal(t, len(h.ledger.Report().Attempts[0].Runs), 1)
	})
}

func TestCheckpointAndThrottle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		part := h.startPart("run 2s", "")
		time.Sleep(time.Second)
		throttle := wire.ThrottleRequest{Epoch: 1, Part: part, Percent: 25}
		assert.Equal(t, h.call("/v1/throttle", throttle, nil), http.StatusOK)
		time.Sleep(2 * time.Second)
		var reply wire.CheckpointReply
		assert.Equal(t, h.call("/v1/checkpoint", wire.CheckpointRequest{Epoch: 1, Part: part}, &reply), http.StatusOK)
		assert.Equal(t, reply.Checkpoint, "j/1/w0/1500")
		assert.Equal(t, h.reportedPart().State, ident.PartRunning)
	})
}

func TestFaults(t *testing.T) {
	fault := faults.Fault{Peer: faults.Worker, DataCentre: "dc"}
	tests := []struct {
		name string
		kind faults.Kind
		want ident.PartState
		runs int
	}{
		{"fails everything", faults.FailAll, ident.PartFailed, 1},
		{"response lost", faults.LoseAnswer, ident.PartRunning, 1},
		{"connection cut", faults.Cut, ident.PartReserved, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				part := wire.Part{Job: "j", Attempt: 1}
				reserve := wire.ReserveRequest{
					Epoch: 1, Part: part, Accelerators: 1, Lease: shortLease, Spec: wire.Spec{Command: "run 1s"},
				}
				assert.Equal(t, h.call("/v1/reserve", reserve, nil), http.StatusOK)
				fault.Kind = tt.kind
				assert.NilError(t, h.faults.Inject(fault))
				h.call("/v1/start", wire.StartRequest{Epoch: 1, Part: part}, nil)
				h.faults.ClearAll()
				assert.Equal(t, h.reportedPart().State, tt.want)
				assert.Equal(t, len(h.ledger.Report().Attempts[0].Runs), tt.runs)
			})
		})
	}
}

func TestDieAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.startPart("run 10s", "")
		time.Sleep(time.Second)
		die := faults.Fault{Peer: faults.Worker, Rack: "r1", Kind: faults.Die, For: ident.Duration(time.Second)}
		assert.NilError(t, h.faults.Inject(die))
		assert.Equal(t, h.call("/v1/report", wire.FenceRequest{Epoch: 1}, nil), 0)
		run := h.ledger.Report().Attempts[0].Runs[0]
		assert.Equal(t, run.State, ident.PartStopped)
		assert.Equal(t, run.Ended.Sub(run.Started), time.Second)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		var report wire.Report
		assert.Equal(t, h.call("/v1/report", wire.FenceRequest{Epoch: 1}, &report), http.StatusOK)
		assert.Equal(t, len(report.Parts), 0)
	})
}

func TestFreezeDelaysCallsAndLeasesLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.startPart("run 10s", "")
		freeze := faults.Fault{Peer: faults.Worker, Name: "w0", Kind: faults.Freeze, For: ident.Duration(time.Minute)}
		assert.NilError(t, h.faults.Inject(freeze))
		started := time.Now()
		assert.Equal(t, h.reportedPart().State, ident.PartStopped)
		assert.Equal(t, time.Since(started), time.Minute)
	})
}

func TestUsageLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.worker = worker.New(worker.Config{Name: "w0", Accelerators: 8, UsageLag: 3 * time.Second, Faults: h.faults, Ledger: h.ledger})
		h.startPart("run 10s", "")
		time.Sleep(2 * time.Second)
		assert.Equal(t, h.reportedPart().Ran, ident.Duration(0))
		time.Sleep(2 * time.Second)
		assert.Equal(t, h.reportedPart().Ran, ident.Duration(time.Second))
	})
}
