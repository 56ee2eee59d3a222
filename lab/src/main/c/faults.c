/*
 * Makes system calls of one process fail, come short or come late, as a file that another process writes says.
 *
 * Loaded with LD_PRELOAD. STREAMPROXY_FAULTS names a file of SLOTS slots of struct slot, in the machine's byte order, which
 * FaultInjector.java writes and reads; it is mapped, so that faults are switched while the process runs.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* In the order of SystemCall.java. */
enum call { ACCEPT, SOCKET, CONNECT, WAIT, READ, WRITE, LOG, THREAD, MEMORY, SELF, SLOTS };

struct slot {
    int32_t error;     /* errno to fail with; 0: the call is made */
    int32_t most;      /* bytes that are read or written at most, threads that may run; 0: as many as asked for */
    int32_t delay_ms;  /* how long the call waits before anything else */
    int32_t every;     /* each so many'th call is met; 0: none */
    int64_t calls;     /* made so far while the fault was switched on */
    int64_t hits;      /* met so far */
};

static struct slot *slots;

#define NEXT(name) ((__typeof__(&name)) next_of(&next_##name, #name))
#define DECLARE(name) static void *next_##name

static void *next_of(void **kept, const char *name) {
    void *found = __atomic_load_n(kept, __ATOMIC_RELAXED);
    if (found == NULL) {
        found = dlsym(RTLD_NEXT, name);
        __atomic_store_n(kept, found, __ATOMIC_RELAXED);
    }
    return found;
}

DECLARE(accept);
DECLARE(accept4);
DECLARE(socket);
DECLARE(connect);
DECLARE(poll);
DECLARE(epoll_wait);
DECLARE(read);
DECLARE(recv);
DECLARE(readv);
DECLARE(write);
DECLARE(send);
DECLARE(writev);
DECLARE(pthread_create);
DECLARE(mmap);

__attribute__((constructor)) static void map_slots(void) {
    const char *path = getenv("STREAMPROXY_FAULTS");
    int fd = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, SLOTS * sizeof(struct slot), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    slots = mapped == MAP_FAILED ? NULL : mapped;
    close(fd);
}

/* The slot where this call is to meet its fault, after its delay; else NULL. */
static struct slot *met(enum call which) {
    struct slot *slot = slots == NULL ? NULL : &slots[which];
    int32_t every = slot == NULL ? 0 : __atomic_load_n(&slot->every, __ATOMIC_RELAXED);
    if (every <= 0 || __atomic_add_fetch(&slot->calls, 1, __ATOMIC_RELAXED) % every != 0) {
        return NULL;
    }
    __atomic_add_fetch(&slot->hits, 1, __ATOMIC_RELAXED);
    int32_t delay = __atomic_load_n(&slot->delay_ms, __ATOMIC_RELAXED);
    if (delay > 0) {
        struct timespec wait = {delay / 1000, (delay % 1000) * 1000000L};
        nanosleep(&wait, NULL);
    }
    return slot;
}

static int error_of(const struct slot *slot) { return slot == NULL ? 0 : __atomic_load_n(&slot->error, __ATOMIC_RELAXED); }

static size_t most_of(const struct slot *slot, size_t asked) {
    int32_t most = slot == NULL ? 0 : __atomic_load_n(&slot->most, __ATOMIC_RELAXED);
    return most > 0 && (size_t) most < asked ? (size_t) most : asked;
}

#define FAIL_IF_MET(slot)           \
    do {                            \
        int error = error_of(slot); \
        if (error != 0) {           \
            errno = error;          \
            return -1;              \
        }                           \
    } while (0)

/* Sockets of the Internet alone: the JVM's own pipes and files are left as they are. */
static int is_tcp(int fd) {
    struct stat status;
    if (fstat(fd, &status) != 0 || !S_ISSOCK(status.st_mode)) {
        return 0;
    }
    int domain = 0;
    socklen_t size = sizeof domain;
    int saved = errno;
    int known = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size);
    errno = saved;
    return known == 0 && (domain == AF_INET || domain == AF_INET6);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    struct slot *slot = met(ACCEPT);
    FAIL_IF_MET(slot);
    return NEXT(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    struct slot *slot = met(ACCEPT);
    FAIL_IF_MET(slot);
    return NEXT(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    struct slot *slot = domain == AF_INET || domain == AF_INET6 ? met(SOCKET) : NULL;
    FAIL_IF_MET(slot);
    return NEXT(socket)(domain, type, protocol);
}

/* Gives the socket the address that it is to connect to, so that it connects to itself. */
static void bind_to_target(int fd, const struct sockaddr *address, socklen_t length) {
    int saved = errno;
    int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    bind(fd, address, length);
    errno = saved;
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if ((address->sa_family == AF_INET || address->sa_family == AF_INET6) && met(SELF) != NULL) {
        bind_to_target(fd, address, length);
    }
    struct slot *slot = address->sa_family == AF_INET || address->sa_family == AF_INET6 ? met(CONNECT) : NULL;
    FAIL_IF_MET(slot);
    return NEXT(connect)(fd, address, length);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    struct slot *slot = met(WAIT);
    FAIL_IF_MET(slot);
    return NEXT(poll)(fds, count, timeout);
}

int epoll_wait(int epfd, struct epoll_event *events, int most, int timeout) {
    struct slot *slot = met(WAIT);
    FAIL_IF_MET(slot);
    return NEXT(epoll_wait)(epfd, events, most, timeout);
}

ssize_t read(int fd, void *to, size_t count) {
    struct slot *slot = slots != NULL && slots[READ].every > 0 && is_tcp(fd) ? met(READ) : NULL;
    FAIL_IF_MET(slot);
    return NEXT(read)(fd, to, most_of(slot, count));
}

ssize_t recv(int fd, void *to, size_t count, int flags) {
    struct slot *slot = slots != NULL && slots[READ].every > 0 && is_tcp(fd) ? met(READ) : NULL;
    FAIL_IF_MET(slot);
    return NEXT(recv)(fd, to, most_of(slot, count), flags);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    struct slot *slot = slots != NULL && slots[READ].every > 0 && is_tcp(fd) ? met(READ) : NULL;
    FAIL_IF_MET(slot);
    if (slot != NULL && most_of(slot, parts[0].iov_len) < parts[0].iov_len) {
        return NEXT(read)(fd, parts[0].iov_base, most_of(slot, parts[0].iov_len));
    }
    return NEXT(readv)(fd, parts, count);
}

/* The slot of a write: of the log where it goes to standard error, of sockets where it goes to one. */
static struct slot *met_write(int fd) {
    if (slots == NULL) {
        return NULL;
    }
    if (fd == STDERR_FILENO) {
        return met(LOG);
    }
    return slots[WRITE].every > 0 && is_tcp(fd) ? met(WRITE) : NULL;
}

ssize_t write(int fd, const void *from, size_t count) {
    struct slot *slot = met_write(fd);
    FAIL_IF_MET(slot);
    return NEXT(write)(fd, from, most_of(slot, count));
}

ssize_t send(int fd, const void *from, size_t count, int flags) {
    struct slot *slot = met_write(fd);
    FAIL_IF_MET(slot);
    return NEXT(send)(fd, from, most_of(slot, count), flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    struct slot *slot = met_write(fd);
    FAIL_IF_MET(slot);
    if (slot != NULL && most_of(slot, parts[0].iov_len) < parts[0].iov_len) {
        return NEXT(write)(fd, parts[0].iov_base, most_of(slot, parts[0].iov_len));
    }
    return NEXT(writev)(fd, parts, count);
}

/* A thread that this library has started, which is counted until it ends. */
struct start {
    void *(*routine)(void *);
    void *argument;
};

static int running = 1; /* the thread that loaded this library */

static void ends(void *unused) {
    (void) unused;
    __atomic_sub_fetch(&running, 1, __ATOMIC_RELAXED);
}

static void *run(void *argument) {
    struct start start = *(struct start *) argument;
    free(argument);
    void *result;
    pthread_cleanup_push(ends, NULL);
    result = start.routine(start.argument);
    pthread_cleanup_pop(1);
    return result;
}

/* Whether one thread more may not be made: too many run, or, without such a number, it is the turn of this call. */
static int thread_fails(void) {
    struct slot *slot = slots == NULL ? NULL : &slots[THREAD];
    if (slot == NULL || __atomic_load_n(&slot->every, __ATOMIC_RELAXED) <= 0) {
        return 0;
    }
    int32_t most = __atomic_load_n(&slot->most, __ATOMIC_RELAXED);
    if (most > 0 && __atomic_load_n(&running, __ATOMIC_RELAXED) < most) {
        return 0;
    }
    return error_of(met(THREAD));
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*routine)(void *), void *argument) {
    int error = thread_fails();
    struct start *start = error != 0 ? NULL : malloc(sizeof *start);
    if (start == NULL) {
        return error != 0 ? error : EAGAIN;
    }
    start->routine = routine;
    start->argument = argument;
    __atomic_add_fetch(&running, 1, __ATOMIC_RELAXED);
    error = NEXT(pthread_create)(thread, attributes, run, start);
    if (error != 0) {
        __atomic_sub_fetch(&running, 1, __ATOMIC_RELAXED);
        free(start);
    }
    return error;
}

/* Memory that is asked for anew; files are mapped as ever. */
void *mmap(void *at, size_t length, int protection, int flags, int fd, off_t offset) {
    struct slot *slot = (flags & MAP_ANONYMOUS) != 0 && slots != NULL && slots[MEMORY].every > 0 ? met(MEMORY) : NULL;
    int error = error_of(slot);
    if (error != 0) {
        errno = error;
        return MAP_FAILED;
    }
    return NEXT(mmap)(at, length, protection, flags, fd, offset);
}
