package forwarder

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/listener"
	"github.com/papayaworks/papayaworks/internal/request"
)

const (
	// heldFraction is the fraction of the memory of the process that requests of callers may hold. Each byte of a request is held up to
	// four times: as it was read, as a body, as the request to the target, and in buffers that are being enlarged.
	heldFraction = 0.125
	// minHeldBytes lets a few requests of the default size be held on the smallest machines.
	minHeldBytes = 8 << 20
	// reservedFiles are the descriptors that are left to files, and callerFilesFraction is the fraction of the others that connections of
	// callers may use. The rest is for connections to targets, stores and other instances.
	reservedFiles       = 200
	callerFilesFraction = 0.6
	// controlConnections bounds the connections for readiness checks and metrics, which are opened about once a second.
	controlConnections = 16
	// controlBytes bounds the requests for readiness checks and metrics, which have no body.
	controlBytes = 8 << 10
	// controlIdleTimeout is how long a connection for readiness checks or metrics may be idle.
	controlIdleTimeout = time.Minute
	// A connection may have unsent between minWriteBufferBytes and maxWriteBufferBytes, and writeBufferFraction of the memory.
	minWriteBufferBytes = 64 << 10
	maxWriteBufferBytes = 1 << 20
	writeBufferFraction = 1.0 / 1024
)

// newCallerServer returns the server for callers. Its bounds follow from the machine of the process, and the limits of a request from
// the operator's configuration.
func (s *Server) newCallerServer() *listener.Server {
	out := &listener.Server{
		Addr: s.Settings.ListenAddress, Handler: http.HandlerFunc(s.serve), MaxBodyBytes: maxBodyBytes, WriteBufferBytes: maxWriteBufferBytes,
		Limits: s.callerLimits, Refuse: s.encodeRefusal, OnRefuse: s.recordUnread,
	}
	if n := s.Settings.MemoryBytes; n > 0 {
		out.MaxHeldBytes = max(minHeldBytes, int64(heldFraction*float64(n)))
		out.WriteBufferBytes = min(maxWriteBufferBytes, max(minWriteBufferBytes, int(writeBufferFraction*float64(n))))
	}
	if n := s.Settings.MaxFiles; n > 0 {
		out.MaxConnections = max(controlConnections, int(callerFilesFraction*float64(n-reservedFiles)))
	}
	return out
}

// newControlServer returns a server for readiness checks or metrics.
func (s *Server) newControlServer(address string, h http.HandlerFunc) *listener.Server {
	return &listener.Server{
		Addr: address, Handler: h, MaxBodyBytes: controlBytes, MaxConnections: controlConnections, OnRefuse: s.recordUnread,
		Limits: func() listener.Limits {
			return listener.Limits{HeadBytes: controlBytes, BodyBytes: controlBytes, IdleTimeout: controlIdleTimeout}
		},
	}
}

// callerLimits returns the limits of the operator's configuration; until one has been read, the defaults apply.
func (s *Server) callerLimits() listener.Limits {
	c := s.Watcher.View().Catalog
	if c == nil {
		return listener.Limits{}
	}
	l := c.Limits
	return listener.Limits{HeadBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeadTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// refusalCodes are the codes of the error bodies of requests that were refused before they were read completely.
var refusalCodes = map[string]request.Code{
	listener.ReasonHead: request.CodeTooLarge, listener.ReasonBody: request.CodeTooLarge, listener.ReasonFraming: request.CodeBadRequest,
	listener.ReasonTimeout: request.CodeNotRun, listener.ReasonMemory: request.CodeOverloaded, listener.ReasonPipelining: request.CodeOverloaded,
}

// encodeRefusal implements the Refuse function of the listener.
func (s *Server) encodeRefusal(h http.Header, r listener.Refusal) []byte {
	id := ""
	if r.Header != nil {
		// Without a valid header the response names no request.
		if headers, err := s.Codec.ParseRequest(r.Header); err == nil {
			id = headers.ID
		}
	}
	h.Set("Content-Type", "application/json")
	s.Codec.WriteRefusal(h, id, r.RetryAfter)
	body, err := json.Marshal(request.NewErrorBody(request.Refuse(r.Status, refusalCodes[r.Reason], "", "%s", r.Message).WithRetryAfter(r.RetryAfter)))
	if err != nil {
		return nil
	}
	return body
}

// recordUnread counts a request that was refused before it was read completely, or a connection that was closed, and logs it at most
// once a second.
func (s *Server) recordUnread(reason string) {
	s.metrics.RecordUnread(reason)
	if reason == listener.ReasonIdle {
		return
	}
	if log, ok := s.loggerFor(messageUnread); ok {
		log.WithField("reason", reason).Info(messageUnread)
	}
}
