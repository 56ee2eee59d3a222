package streamproxy.lab.faults;

/** Error numbers of Linux. */
public enum Errno {
    /** The call goes on. */
    NONE(0),
    EINTR(4),
    EIO(5),
    EAGAIN(11),
    ENOMEM(12),
    ENFILE(23),
    EMFILE(24),
    ENOSPC(28),
    EPROTO(71),
    EADDRNOTAVAIL(99),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ECONNRESET(104),
    ENOBUFS(105),
    ETIMEDOUT(110),
    EHOSTUNREACH(113);

    private final int number;

    Errno(int number) { this.number = number; }

    int number() { return number; }
}
