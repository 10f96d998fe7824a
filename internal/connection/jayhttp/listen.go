package jayhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
)

// socketBufferBytes is the size of the kernel's buffers of a client's connection in each direction, which
// Linux doubles. What a client sends unasked stays there.
const socketBufferBytes = 16 << 10

// Listen listens for clients.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
				optionErr = errors.Join(optionErr, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, socketBufferBytes))
			}
		})
		return errors.Join(err, optionErr)
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}
