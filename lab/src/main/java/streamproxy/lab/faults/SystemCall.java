package streamproxy.lab.faults;

/** A kind of system call that {@link FaultInjector} can make fail, in the order of the library's slots. */
public enum SystemCall {
    /** A connection is taken from a listening socket's queue. */
    ACCEPT,
    /** A TCP socket is made. */
    SOCKET,
    /** A TCP connection is opened. */
    CONNECT,
    /** {@code poll} and {@code epoll_wait}. */
    WAIT,
    /** Bytes are read from a TCP socket. */
    READ,
    /** Bytes are written to a TCP socket. */
    WRITE,
    /** Bytes are written to standard error, which holds the log. */
    LOG,
    /** A thread is made; {@link Fault#most} is how many may run in the process. */
    THREAD,
    /** Memory is mapped that belongs to no file. */
    MEMORY,
    /** A TCP connection reaches its own socket in place of its target. */
    SELF
}
