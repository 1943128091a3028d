/* System calls that fail in turn, beneath a process, by LD_PRELOAD.

   Two things that no test above the system calls can do: each call of accept, dial, read,
   write and close fails as told, and no descriptor of a TCP socket is ever the number of
   an earlier one, so that a number used or closed after it was given up meets EBADF and is
   written down instead of hitting a stranger.

   FAULTS_PLAN  CALL:ERROR:AFTER:TIMES[,...]  the call fails with this errno number from its
                AFTER-th time on (from 1), TIMES times (0: for good). Only calls on sockets
                that were accepted, or dialled to a port of FAULTS_PORTS, are counted.
   FAULTS_PORTS the servers' ports, with commas
   FAULTS_LOG   a file that gets a line for each fault ("fault"), and for each number that
                was used after it was given up ("stale")

   Calls: accept4 socket connect so_error read recv write close. A connect that fails
   with EINPROGRESS never comes up; what it ends with is so_error's plan. A close that fails
   has closed all the same, as on Linux. */

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

enum { FIRST = 200, MOST = 65536, PLANS = 16 };
enum role { NONE, MADE, LISTENS, ACCEPTED, TO_LIST, TO_SERVER, CLOSED };

static unsigned char roles[MOST];
static int next_number = FIRST, most = MOST, log_fd = -1;
static int ports[64], port_count;
static struct plan { char call[16]; int error, after, times, seen, done; } plans[PLANS];
static int plan_count;

static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_socket)(int, int, int);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static int (*real_getsockopt)(int, int, int, void *, socklen_t *);
static ssize_t (*real_read)(int, void *, size_t);
static ssize_t (*real_recv)(int, void *, size_t, int);
static ssize_t (*real_write)(int, const void *, size_t);
static ssize_t (*real_writev)(int, const struct iovec *, int);
static ssize_t (*real_send)(int, const void *, size_t, int);
static int (*real_close)(int);
static int (*real_listen)(int, int);
static long (*real_syscall)(long, ...);

static void note(const char *kind, const char *call, int number, int error)
{
    char line[128];
    int n = snprintf(line, sizeof line, "%s %s %d %d\n", kind, call, number, error);
    if (log_fd >= 0)
        (void)!real_syscall(SYS_write, log_fd, line, (size_t)n);
}

__attribute__((constructor)) static void begin(void)
{
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_getsockopt = dlsym(RTLD_NEXT, "getsockopt");
    real_read = dlsym(RTLD_NEXT, "read");
    real_recv = dlsym(RTLD_NEXT, "recv");
    real_write = dlsym(RTLD_NEXT, "write");
    real_writev = dlsym(RTLD_NEXT, "writev");
    real_send = dlsym(RTLD_NEXT, "send");
    real_close = dlsym(RTLD_NEXT, "close");
    real_listen = dlsym(RTLD_NEXT, "listen");
    real_syscall = dlsym(RTLD_NEXT, "syscall");
    const char *path = getenv("FAULTS_LOG");
    if (path != NULL) {
        int low = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        log_fd = fcntl(low, F_DUPFD_CLOEXEC, FIRST - 1);
        real_syscall(SYS_close, low);
    }
    struct rlimit limit;
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur < MOST)
        most = (int)limit.rlim_cur;
    char text[1024];
    snprintf(text, sizeof text, "%s", getenv("FAULTS_PORTS") ? getenv("FAULTS_PORTS") : "");
    for (char *p = strtok(text, ","); p && port_count < 64; p = strtok(NULL, ","))
        ports[port_count++] = atoi(p);
    snprintf(text, sizeof text, "%s", getenv("FAULTS_PLAN") ? getenv("FAULTS_PLAN") : "");
    for (char *p = strtok(text, ","); p && plan_count < PLANS; p = strtok(NULL, ",")) {
        struct plan *plan = &plans[plan_count];
        if (sscanf(p, "%15[^:]:%d:%d:%d", plan->call, &plan->error, &plan->after, &plan->times) == 4)
            plan_count++;
        else
            note("unread", p, -1, 0);
    }
}

static int role(int fd) { return fd >= 0 && fd < MOST ? roles[fd] : NONE; }

static int ours(int fd) { return role(fd) == ACCEPTED || role(fd) == TO_SERVER; }

/* The errno that this call is to fail with now, or 0. */
static int due(const char *call, int fd)
{
    for (int i = 0; i < plan_count; i++) {
        struct plan *plan = &plans[i];
        if (strcmp(plan->call, call) != 0)
            continue;
        plan->seen++;
        if (plan->seen < plan->after || (plan->times && plan->done >= plan->times))
            continue;
        plan->done++;
        note("fault", call, fd, plan->error);
        return plan->error;
    }
    return 0;
}

static void stale(const char *call, int fd)
{
    if (role(fd) == CLOSED)
        note("stale", call, fd, 0);
}

/* A number that no socket had before. */
static int fresh(int fd, int as)
{
    if (fd < 0)
        return fd;
    if (next_number >= most - 1) {
        note("stale", "numbers-used-up", fd, 0);
        return fd;
    }
    int number = fcntl(fd, F_DUPFD_CLOEXEC, next_number);
    if (number < 0)
        return fd;
    real_syscall(SYS_close, fd);
    next_number = number + 1;
    if (number < MOST)
        roles[number] = (unsigned char)as;
    return number;
}

#define FAIL(call, fd)                  \
    do {                                \
        int error_ = due(call, fd);     \
        if (error_) {                   \
            errno = error_;             \
            return -1;                  \
        }                               \
    } while (0)

int socket(int domain, int type, int protocol)
{
    if (domain != AF_INET)
        return real_socket(domain, type, protocol);
    FAIL("socket", -1);
    return fresh(real_socket(domain, type, protocol), MADE);
}

int listen(int fd, int backlog)
{
    if (fd >= 0 && fd < MOST)
        roles[fd] = LISTENS;
    return real_listen(fd, backlog);
}

int accept4(int fd, struct sockaddr *addr, socklen_t *len, int flags)
{
    stale("accept4", fd);
    struct pollfd waits = {.fd = fd, .events = POLLIN};
    if (poll(&waits, 1, 0) > 0)
        FAIL("accept4", fd);
    return fresh(real_accept4(fd, addr, len, flags), ACCEPTED);
}

int connect(int fd, const struct sockaddr *addr, socklen_t len)
{
    stale("connect", fd);
    if (addr != NULL && addr->sa_family == AF_INET && fd >= 0 && fd < MOST) {
        int port = ntohs(((const struct sockaddr_in *)addr)->sin_port);
        roles[fd] = TO_LIST;
        for (int i = 0; i < port_count; i++)
            if (ports[i] == port)
                roles[fd] = TO_SERVER;
        if (roles[fd] == TO_SERVER)
            FAIL("connect", fd);
    }
    return real_connect(fd, addr, len);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *len)
{
    stale("getsockopt", fd);
    if (level == SOL_SOCKET && name == SO_ERROR && role(fd) == TO_SERVER) {
        int error = due("so_error", fd);
        if (error) {
            *(int *)value = error;
            *len = sizeof error;
            return 0;
        }
    }
    return real_getsockopt(fd, level, name, value, len);
}

ssize_t read(int fd, void *buffer, size_t size)
{
    stale("read", fd);
    if (ours(fd))
        FAIL("read", fd);
    return real_read(fd, buffer, size);
}

ssize_t recv(int fd, void *buffer, size_t size, int flags)
{
    stale("recv", fd);
    if (ours(fd))
        FAIL("recv", fd);
    return real_recv(fd, buffer, size, flags);
}

ssize_t write(int fd, const void *buffer, size_t size)
{
    stale("write", fd);
    if (ours(fd))
        FAIL("write", fd);
    return real_write(fd, buffer, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    stale("writev", fd);
    if (ours(fd))
        FAIL("write", fd);
    return real_writev(fd, parts, count);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags)
{
    stale("send", fd);
    if (ours(fd))
        FAIL("write", fd);
    return real_send(fd, buffer, size, flags);
}

int close(int fd)
{
    stale("close", fd);
    int was = role(fd);
    if (was != NONE && was != CLOSED) {
        roles[fd] = CLOSED;
        if (was == ACCEPTED || was == TO_SERVER) {
            int error = due("close", fd);
            if (error) {
                real_close(fd);
                errno = error;
                return -1;
            }
        }
    }
    return real_close(fd);
}

/* libuv closes by syscall(2), so that the call is no point of cancellation. */
long syscall(long number, ...)
{
    long a[6];
    va_list list;
    va_start(list, number);
    for (int i = 0; i < 6; i++)
        a[i] = va_arg(list, long);
    va_end(list);
    if (number == SYS_close)
        return close((int)a[0]);
    return real_syscall(number, a[0], a[1], a[2], a[3], a[4], a[5]);
}
