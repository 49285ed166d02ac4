// Package emulator provides in-process emulators of the systems that papayaworks depends on, for tests and demos.
//
// There is one type per system: [Engine] (a model engine), [Service] (a plain
// HTTP service), [KVStore] (cache blocks in memory and on disk), [Log] (the
// platform's append-only log), [InstanceList] (the platform's list of live and
// leaving instances and targets), [WeightStore] (the model weight store) and
// [Network] (partitions between data centres). Each server listens on a
// loopback address, keeps its state in memory and can inject the faults of the
// real system. The emulators also record the ground truth that tests compare
// with: how often an operation ran, and which account and weight version the
// cache blocks of a run belong to.
//
// A type with a field Speed divides the durations of the real system by it, so
// that tests and demos run faster than real time.
//
// # Usage
//
//	e := &emulator.Engine{ID: "letters-1", Models: map[string]int64{"letters": 1}, Speed: 20}
//	addr, err := e.Start()
//	defer e.Kill()
package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// maxBodyBytes bounds the request and response bodies that an emulator reads.
const maxBodyBytes = 8 << 20

// scale divides a duration of the real system by speed; a speed of 0 or less counts as 1.
func scale(d time.Duration, speed float64) time.Duration {
	if speed <= 0 {
		return d
	}
	return time.Duration(float64(d) / speed)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readJSON decodes a JSON body of at most maxBodyBytes into v. On failure it responds with 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError responds with a JSON object whose member "error" holds the message.
func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, map[string]string{"error": fmt.Sprintf(format, args...)})
}
