// Package emulator holds small stand-ins for the systems around papayaworks.
//
// There is one type for each: [Engine] (a model engine), [Service] (a plain
// service), [KVStore] (cache blocks in memory and on disk), [Log] (the platform's
// append-only log), [InstanceList] (the list of live and leaving instances) and
// [WeightStore] (the weight store). Each serves HTTP on a loopback address, keeps
// its state in memory and has switches for the faults that the real system
// shows. They also keep the ground truth that tests compare with: how often an
// order ran, whose blocks a run used, of which weight version.
//
// Durations in the real system are divided by Speed, so that a day passes in a
// minute.
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

// maxBody bounds the bodies that the stand-ins read.
const maxBody = 8 << 20

// scale returns the real duration d shortened by speed; a speed of 0 counts as 1.
func scale(d time.Duration, speed float64) time.Duration {
	if speed <= 0 {
		return d
	}
	return time.Duration(float64(d) / speed)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readJSON decodes a bounded JSON body and answers 400 itself if that fails.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
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

// writeError answers with an error body.
func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, map[string]string{"error": fmt.Sprintf(format, args...)})
}
