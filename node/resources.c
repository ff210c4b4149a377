#include "node/resources.h"

#include <sys/resource.h>

#include "core/procfile.h"

#define FILES_MAX    200 /* descriptors that are not for sockets */
#define BYTES_PER_MB (1024 * 1024)
/* Of the memory. The rest is for the lists of VMs and settings, for what each
 * connection and call needs, and for what the allocator can't use. */
#define BUFFER_SHARE 0.4

static int64_t min_of(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static int64_t max_of(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/* Returns a limit of the process, -1 if there is none or it can't be read. */
static int64_t get_limit(__rlimit_resource_t resource)
{
    struct rlimit limit;
    if (getrlimit(resource, &limit) != 0 || limit.rlim_cur > INT64_MAX)
        return -1; /* RLIM_INFINITY is the largest number */
    return (int64_t)limit.rlim_cur;
}

struct rk_resources rk_resources_get(const struct rk_procfile *file)
{
    struct rk_resources r = {.descriptor_limit = get_limit(RLIMIT_NOFILE),
                             .address_space_limit = get_limit(RLIMIT_AS)};
    r.descriptors = (int64_t)file->max_fds;
    if (r.descriptor_limit >= 0)
        r.descriptors = min_of(r.descriptors, r.descriptor_limit);
    int64_t sockets = r.descriptors - min_of(FILES_MAX, r.descriptors / 4);
    r.buffer_bytes = (int64_t)(file->memory_mb * BYTES_PER_MB * BUFFER_SHARE);
    r.callers = (int)max_of(1, min_of(file->max_connections, sockets / 2));
    r.forwards = (int)max_of(1, min_of(file->max_connections, sockets / 12));
    r.lingering = 1 + (int)min_of(r.callers, sockets / 12);
    return r;
}
