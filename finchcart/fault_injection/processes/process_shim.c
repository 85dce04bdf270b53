/* A library that LD_PRELOAD loads into a process under test. It shifts the wall clock of the process and makes
 * its system calls fail, transfer fewer bytes than requested or return EINTR, as a memory-mapped file specifies.
 *
 * If FINCHCART_SOCKET_TRACE names a file, the library appends the operations on accepted sockets to that file.
 *
 * The library writes to the counters in the mapped file and nothing else there. It must not change the monotonic
 * clocks or affect another process. File layouts: struct shared, read and written by process_shim.py; struct
 * traced, read by socket_trace.py. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, BIND, LISTEN, RECV, SEND, SENDTO, SETSOCKOPT, WRITE, THREAD, CALLS };

struct rule {
    int64_t first;      /* number of the first call that fails, counted from 1; 0: no call fails by number */
    int64_t count;      /* number of consecutive calls that fail from `first` on */
    int64_t error;      /* errno of an affected call; 0: the call does not fail */
    int64_t per_million; /* probability, in millionths, that any other call is affected */
    int64_t seed;       /* seed of the random choice by `per_million` */
    int64_t most_bytes; /* limit on the bytes that an affected read or write transfers; 0: no limit */
    int64_t calls;      /* counter of all calls */
    int64_t injected;   /* counter of the affected calls */
};

struct shared {
    int64_t clock_offset_ns; /* offset added to the wall clock */
    int64_t unused[7];
    struct rule rules[CALLS];
};

static struct shared *shared;

enum traced_event { ACCEPTED = 1, RECEIVED, SENT, HALF_CLOSED, CLOSED };

struct traced {
    int64_t at_ns; /* time on the monotonic clock */
    int32_t event;
    int32_t fd;
    int64_t value; /* ACCEPTED: the peer's port; RECEIVED and SENT: number of bytes (0: end of the stream) */
};

#define TRACED_DESCRIPTORS 4096 /* descriptors from this number on are not traced */
static int trace_file = -1;
static char is_accepted[TRACED_DESCRIPTORS];

__attribute__((constructor)) static void open_trace(void) {
    const char *path = getenv("FINCHCART_SOCKET_TRACE");
    if (path)
        trace_file = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

static int is_traced(int fd) {
    return trace_file >= 0 && fd >= 0 && fd < TRACED_DESCRIPTORS && is_accepted[fd];
}

/* Appends one event of an accepted socket to the trace and preserves errno. */
static void trace(enum traced_event event, int fd, int64_t value) {
    struct timespec now;
    int error = errno;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    struct traced traced = {(int64_t)now.tv_sec * 1000000000 + now.tv_nsec, event, fd, value};
    if (syscall(SYS_write, trace_file, &traced, sizeof traced) < 0)
        trace_file = -1; /* a write failed, as on a full disk: stop, so that only the end of the trace is missing */
    errno = error;
}

static void trace_accepted(int fd, const struct sockaddr *address) {
    if (trace_file < 0 || fd < 0 || fd >= TRACED_DESCRIPTORS || !address || address->sa_family != AF_INET)
        return;
    is_accepted[fd] = 1;
    trace(ACCEPTED, fd, ntohs(((const struct sockaddr_in *)address)->sin_port));
}

__attribute__((constructor)) static void map_file(void) {
    const char *path = getenv("FINCHCART_SHIM");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct shared), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        shared = mapped;
}

#define REAL(result, name, ...)                                   \
    static result (*real)(__VA_ARGS__);                           \
    if (!real)                                                    \
        real = (result(*)(__VA_ARGS__))dlsym(RTLD_NEXT, #name)

static uint64_t mix(uint64_t x) {
    x ^= x >> 33, x *= 0xff51afd7ed558ccdULL;
    x ^= x >> 33, x *= 0xc4ceb9fe1a85ec53ULL;
    return x ^ (x >> 33);
}

/* Counts a call, and returns its rule if the rule affects this call, or NULL. */
static struct rule *hit(enum call which) {
    if (!shared)
        return NULL;
    struct rule *rule = &shared->rules[which];
    int64_t number = __atomic_add_fetch(&rule->calls, 1, __ATOMIC_RELAXED);
    int by_number = rule->first && number >= rule->first && number < rule->first + rule->count;
    int by_chance = rule->per_million &&
                    (int64_t)(mix((uint64_t)rule->seed * 1000003 + (uint64_t)number) % 1000000) < rule->per_million;
    if (!by_number && !by_chance)
        return NULL;
    __atomic_add_fetch(&rule->injected, 1, __ATOMIC_RELAXED);
    return rule;
}

static int fails(enum call which) {
    struct rule *rule = hit(which);
    if (!rule || !rule->error)
        return 0;
    errno = (int)rule->error;
    return 1;
}

/* ---- Clocks */

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(int, clock_gettime, clockid_t, struct timespec *);
    int result = real(clock, now);
    if (result == 0 && shared && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + shared->clock_offset_ns;
        now->tv_sec = ns / 1000000000;
        now->tv_nsec = ns % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    struct timespec precise;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &precise))
        return -1;
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *now) {
    struct timespec precise;
    clock_gettime(CLOCK_REALTIME, &precise);
    if (now)
        *now = precise.tv_sec;
    return precise.tv_sec;
}

/* ---- System calls */

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    if (fails(ACCEPT))
        return -1;
    int accepted = real(fd, address, length, flags);
    trace_accepted(accepted, address);
    return accepted;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) { return accept4(fd, address, length, 0); }

int socket(int domain, int type, int protocol) {
    REAL(int, socket, int, int, int);
    return fails(SOCKET) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, connect, int, const struct sockaddr *, socklen_t);
    struct rule *rule = hit(CONNECT);
    if (rule && rule->error && rule->error != EINTR) {
        errno = (int)rule->error;
        return -1;
    }
    int result = real(fd, address, length);
    if (rule && rule->error == EINTR && result < 0 && errno == EINPROGRESS)
        errno = EINTR; /* the connection attempt continues, as after a real signal */
    return result;
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(int, bind, int, const struct sockaddr *, socklen_t);
    return fails(BIND) ? -1 : real(fd, address, length);
}

int listen(int fd, int backlog) {
    REAL(int, listen, int, int);
    return fails(LISTEN) ? -1 : real(fd, backlog);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    REAL(int, setsockopt, int, int, int, const void *, socklen_t);
    return fails(SETSOCKOPT) ? -1 : real(fd, level, name, value, length);
}

/* Reduces the length if the call is to be short. Returns -1 with errno set if the call is to fail, else 0. */
static int limited(enum call which, size_t *length) {
    struct rule *rule = hit(which);
    if (!rule)
        return 0;
    if (rule->error) {
        errno = (int)rule->error;
        return -1;
    }
    if (rule->most_bytes && *length > (size_t)rule->most_bytes)
        *length = (size_t)rule->most_bytes;
    return 0;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(ssize_t, recv, int, void *, size_t, int);
    if (limited(RECV, &length))
        return -1;
    ssize_t count = real(fd, buffer, length, flags);
    if (count >= 0 && !(flags & MSG_PEEK) && is_traced(fd))
        trace(RECEIVED, fd, count);
    return count;
}

ssize_t send(int fd, const void *data, size_t length, int flags) {
    REAL(ssize_t, send, int, const void *, size_t, int);
    if (limited(SEND, &length))
        return -1;
    ssize_t count = real(fd, data, length, flags);
    if (count >= 0 && is_traced(fd))
        trace(SENT, fd, count);
    return count;
}

int shutdown(int fd, int how) {
    REAL(int, shutdown, int, int);
    if (is_traced(fd))
        trace(HALF_CLOSED, fd, how);
    return real(fd, how);
}

int close(int fd) {
    REAL(int, close, int);
    if (is_traced(fd)) {
        trace(CLOSED, fd, 0);
        is_accepted[fd] = 0;
    }
    return real(fd);
}

ssize_t sendto(int fd, const void *data, size_t length, int flags, const struct sockaddr *to, socklen_t size) {
    REAL(ssize_t, sendto, int, const void *, size_t, int, const struct sockaddr *, socklen_t);
    return limited(SENDTO, &length) ? -1 : real(fd, data, length, flags, to, size);
}

ssize_t write(int fd, const void *data, size_t length) {
    REAL(ssize_t, write, int, const void *, size_t);
    if (fd == STDERR_FILENO && limited(WRITE, &length))
        return -1;
    return real(fd, data, length);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*body)(void *), void *argument) {
    REAL(int, pthread_create, pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
    return fails(THREAD) ? errno : real(thread, attributes, body, argument);
}
