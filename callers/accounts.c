/* What a server's connections hold: the idle ones, requests that are not whole, and
 * their buffers in the account of memory. */
#include "callers/client.h"
#include "common/memory.h"

void rk_client_set_idle(struct rk_client *c, bool on)
{
    if (c->in_idle_list)
        TAILQ_REMOVE(&c->s->idle, c, idle_entry);
    c->in_idle_list = on;
    if (on)
        TAILQ_INSERT_TAIL(&c->s->idle, c, idle_entry);
}

static int size_class(size_t bytes)
{
    int log = 0;
    while (bytes >>= 1)
        log++;
    return log < RK_CLIENT_SIZE_CLASSES ? log : RK_CLIENT_SIZE_CLASSES - 1;
}

static void set_unfinished(struct rk_client *c, size_t bytes)
{
    struct rk_server *s = c->s;
    int before = size_class(c->unfinished), after = size_class(bytes);
    if (c->unfinished && (!bytes || before != after))
        TAILQ_REMOVE(&s->unfinished[before], c, unfinished_entry);
    if (bytes && (!c->unfinished || before != after))
        TAILQ_INSERT_TAIL(&s->unfinished[after], c, unfinished_entry);
    if (!c->unfinished && bytes)
        TAILQ_INSERT_TAIL(&s->begun, c, begun_entry);
    else if (c->unfinished && !bytes)
        TAILQ_REMOVE(&s->begun, c, begun_entry);
    s->unfinished_bytes += bytes - c->unfinished;
    c->unfinished = bytes;
}

void rk_client_update_accounts(struct rk_client *c)
{
    size_t request = c->reader.head.text.cap + c->body.cap;
    bool is_part = c->state == CLIENT_READING && !c->closed && !c->in_idle_list;
    rk_memory_charge(&c->charged, request + c->pipelined.cap);
    rk_memory_expect(&c->expected, is_part && c->announced > request
                                       ? c->announced - request
                                       : 0);
    if (c->unfinished != (is_part ? request : 0))
        set_unfinished(c, is_part ? request : 0);
}

void rk_client_leave_accounts(struct rk_client *c)
{
    rk_client_set_idle(c, false);
    set_unfinished(c, 0);
    rk_memory_expect(&c->expected, 0);
}

struct rk_client *rk_server_largest_unfinished(const struct rk_server *s)
{
    for (int i = RK_CLIENT_SIZE_CLASSES - 1; i >= 0; i--)
        if (!TAILQ_EMPTY(&s->unfinished[i]))
            return TAILQ_FIRST(&s->unfinished[i]);
    return NULL;
}
