/* State of the mesh, shared by mesh.c (members and links), report.c (what nodes
 * tell each other) and enrol.c (the list of nodes in the store). Not for others. */
#ifndef RK_NODE_MESH_IMPL_H
#define RK_NODE_MESH_IMPL_H

#include "node/state.h"

struct rk_link;
struct rk_listener;

struct member {
    struct rk_mesh *m;
    struct member *next;
    char id[RK_ID_MAX]; /* "": a seed that has not told its name */
    char addr[RK_ADDR_MAX];
    char domain[RK_ID_MAX];
    uint64_t incarnation;
    struct rk_link *link; /* that this node opened */
    int64_t dialled_ms;
    int64_t heard_ms;
    int64_t known_ms; /* since when it is a member */
    bool heard;       /* as told last */
    bool leaving;
    int64_t remembers_ms;
    struct rk_vm_load *loads;
    size_t loads_len;
    struct rk_org_use *uses; /* since its start, as told last */
    size_t uses_len;
    struct rk_service_use *services; /* the same */
    size_t services_len;
};

/* A link that a peer opened. */
struct guest {
    struct rk_mesh *m;
    struct rk_link *link;
    struct guest *next;
};

struct rk_mesh {
    struct rk_node *n;
    struct rk_listener *listener;
    struct member *members;
    struct guest *guests;
    struct rk_timer tick, soon, relay_soon, enrol;
    int64_t told_ms; /* the peers, last */
    bool urgent;     /* all are told with the next telling */
    size_t turn;     /* where telling some in turn goes on */
    int64_t enrol_ms;
    bool enrolled, listed;
    int64_t asked_ms;
    /* Used by peers since the relay was told. */
    struct rk_org_use *news;
    size_t news_len;
};

/* A report in the making. */
struct rk_report {
    Rillknot__NodeReport report;
    Rillknot__LeaseRow lease;
    Rillknot__VmUse *vms, **vm_ptrs;
    Rillknot__OrgUse *uses, **use_ptrs;
    uint64_t *known;
    Rillknot__UsageRow *usage, **usage_ptrs;
    Rillknot__ServiceUse *services, **service_ptrs;
    char **peers;
};

/* mesh.c */
size_t rk_mesh_count(const struct rk_mesh *m); /* members, this node not counted */
bool rk_mesh_is_heard(const struct member *k, int64_t now_ms);
bool rk_mesh_is_self(const struct rk_mesh *m, const char *id, const char *addr);
struct member *rk_mesh_learn(struct rk_mesh *m, const char *id, const char *addr);
void rk_mesh_dial(struct rk_mesh *m, int64_t now_ms);

/* report.c: make a report of this node; take in what a member told. */
void rk_report_fill(struct rk_report *p, struct rk_mesh *m);
void rk_report_free(struct rk_report *p);
void rk_report_take(struct member *k, const Rillknot__NodeReport *r);

/* enrol.c: write this node to the list, read who is there. */
void rk_enrol_init(struct rk_mesh *m);
void rk_enrol_start(struct rk_mesh *m);

#endif
