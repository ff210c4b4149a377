/* Nodes that fell silent without a planned stop. Such a node may have ended, or it
 * may be cut off and serve on by the settings and the VM list that it had. */
#include <stdlib.h>

#include "node/mesh_impl.h"

/* A node that is cut off is expected back within this time. */
#define KEPT_MS (3600 * RK_MS_PER_S)
/* Time from its first message until its settings and its list are current. */
#define CATCH_UP_MS 2000

static struct silent_node *find_silent(const struct rk_mesh *m, uint64_t hash)
{
    for (size_t i = 0; i < m->silent_len; i++)
        if (m->silent[i].hash == hash)
            return &m->silent[i];
    return NULL;
}

static void add_silent(struct rk_mesh *m, uint64_t hash, int64_t since_ms)
{
    if (m->silent_len == m->silent_cap) {
        m->silent_cap = m->silent_cap ? m->silent_cap * 2 : 8;
        m->silent = rk_realloc(m->silent, m->silent_cap * sizeof(*m->silent));
    }
    m->silent[m->silent_len++] =
        (struct silent_node){.hash = hash, .since_ms = since_ms};
}

void rk_mesh_note_silence(struct rk_mesh *m, const struct member *k,
                          int64_t last_alive_ms, int64_t now_ms)
{
    bool is_alive = rk_mesh_is_alive(k, now_ms);
    struct silent_node *s = k->id[0] ? find_silent(m, k->hash) : NULL;
    if (!s && !is_alive && k->id[0] && !k->leaving && !k->unconfirmed)
        add_silent(m, k->hash, last_alive_ms);
    else if (s && !is_alive)
        s->heard_ms = 0;
    else if (s && !s->heard_ms)
        s->heard_ms = now_ms;
}

void rk_mesh_expire_silent(struct rk_mesh *m, int64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < m->silent_len; i++) {
        struct silent_node s = m->silent[i];
        bool is_back = s.heard_ms && now_ms - s.heard_ms >= CATCH_UP_MS;
        if (!is_back && now_ms - s.since_ms < KEPT_MS)
            m->silent[kept++] = s;
    }
    m->silent_len = kept;
}

int64_t rk_mesh_silent_since_ms(const struct rk_mesh *m)
{
    int64_t first_ms = 0;
    for (size_t i = 0; i < m->silent_len; i++)
        if (!first_ms || m->silent[i].since_ms < first_ms)
            first_ms = m->silent[i].since_ms;
    return first_ms;
}
