package pooler

import (
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// HasOpen reports whether the target keeps a connection open that was opened before the given time. All connections of a process are closed
// when it ends, so this shows that the process that had the address at that time runs on.
func (p *Pool) HasOpen(address string, before time.Time) bool {
	p.mu.Lock()
	var cs []*conn
	for c := range p.open[address] {
		if c.openedAt.Before(before) {
			cs = append(cs, c)
		}
	}
	p.mu.Unlock()
	return slices.ContainsFunc(cs, func(c *conn) bool { return IsEstablished(c.Conn) })
}

// close closes a connection; p.mu is held.
func (p *Pool) close(address string, c *conn) {
	_ = c.Close()
	delete(p.open[address], c)
	if len(p.open[address]) == 0 {
		delete(p.open, address)
	}
}

// openAndEmpty reports whether a connection is open and its receive buffer is empty.
func openAndEmpty(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = rc.Read(func(fd uintptr) bool {
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN || rerr == syscall.EINTR
		return true
	})
	return err == nil && open
}

// IsEstablished reports whether neither side has closed a connection. Unlike a read it also notices that behind data that was not read yet.
func IsEstablished(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	established := false
	err = rc.Control(func(fd uintptr) {
		info, ierr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = ierr == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return err == nil && established
}
