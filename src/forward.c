/* Workers report to a controller of their own zone, which passes their reports to the leader and
 * the answers back: if the zone is cut off, its workers are already where they are answered on
 * (see deputy.c), instead of trying nodes that they cannot reach while their leases run out. */
#include "brambledoor/frame.h"
#include "core_in.h"
#include <stdio.h>

/* named defaults */
#define ANSWER_S 1.2       /* then the deputy's way is tried, or the worker sent to the leader */
#define REDIRECT_S 8.0     /* a worker is not sent to its zone's controller more often */
#define BACK_S 12.0        /* it hung at the leader, and perhaps at another node */
#define BACK_HOLDS_S 40.0  /* then he is tried again */
#define FORWARDS_LEAST 512 /* more where there are more sockets, of which each holds one */
#define INBOUND_CUT_S 60.0
#define INBOUND_CUT_SHARE 0.6 /* of the machines heard before */
#define INBOUND_CUT_LEAST 3u

int bd_leader_index(const struct bd_core *c)
{
    for (int i = 0; i < c->settings->npeers; i++)
        if (strcmp(c->settings->peers[i].name, c->leader_name) == 0)
            return i;
    return -1;
}

/* The leader's number among the peers if he is heard, or -1. */
static int leader_peer(const struct bd_core *c)
{
    int i = bd_leader_index(c);
    return i >= 0 && bd_peer_heard(c, i, LEADER_SILENT_S) ? i : -1;
}

/* A worker that comes back soon after it was sent to the leader cannot reach him. It would go round
 * between him and us until its lease ran out. */
static bool came_back(struct bd_core *c, const char *id)
{
    struct bd_away *a = NULL;
    HASH_FIND_STR(c->sent_away, id, a);
    if (!a)
        return false;
    double ago = bd_between(a->at, c->now);
    if (ago > (a->back ? BACK_HOLDS_S : BACK_S)) {
        HASH_DEL(c->sent_away, a);
        free(a);
        return false;
    }
    if (!a->back)
        a->at = c->now;
    a->back = true;
    return true;
}

static void remember_away(struct bd_core *c, const char *id)
{
    struct bd_away *a = NULL;
    HASH_FIND_STR(c->sent_away, id, a);
    if (a)
        HASH_DEL(c->sent_away, a); /* the newest are at the end */
    else if (HASH_COUNT(c->sent_away) >= BD_SENT_AWAY) {
        a = c->sent_away;
        HASH_DEL(c->sent_away, a);
    } else {
        a = calloc(1, sizeof *a);
    }
    if (!a)
        abort();
    memset(a, 0, sizeof *a);
    snprintf(a->id, sizeof a->id, "%s", id);
    a->at = c->now;
    HASH_ADD_STR(c->sent_away, id, a);
}

void bd_forward_end(struct bd_core *c)
{
    struct bd_away *a, *next;
    HASH_ITER(hh, c->sent_away, a, next)
    {
        HASH_DEL(c->sent_away, a);
        free(a);
    }
}

static bool other_leads(const struct bd_core *c)
{
    return *c->leader_name && strcmp(c->leader_name, c->settings->node) != 0;
}

/* Not ours to answer: to the leader, where one is known. */
void bd_forward_away(struct bd_core *c, void *request, const struct bd_report *r)
{
    bool other = other_leads(c);
    if (other)
        remember_away(c, r->machine);
    bd_reply(c, request, 421, bd_wire_redirect(other ? c->leader_name : ""), 0);
}

/* Whether no controller of some other zone is heard: that zone is likely cut off from ours. */
static bool zone_silent(const struct bd_core *c)
{
    for (int i = 0; i < c->settings->npeers; i++) {
        bool any = bd_peer_near(c, i);
        for (int k = 0; k < c->settings->npeers && !any; k++)
            any = strcmp(c->settings->peers[k].zone, c->settings->peers[i].zone) == 0 &&
                  bd_peer_heard(c, k, LEADER_SILENT_S);
        if (!any)
            return true;
    }
    return false;
}

/* Whether the worker's report is better passed on than the worker sent to the leader: it is of our
 * zone, or he cannot be reached by it, or he says that he does not hear his workers. */
static bool passed_on(struct bd_core *c, const struct bd_report *r, int peer)
{
    if (came_back(c, r->machine))
        return true;
    if (c->peers[peer].flags & BD_PEER_INBOUND_CUT)
        c->inbound_cut_until = bd_add(c->now, bd_secs(INBOUND_CUT_S));
    if (bd_before(c->now, c->inbound_cut_until))
        return true;
    return strcmp(r->zone, c->settings->zone) == 0 && (!bd_peer_near(c, peer) || zone_silent(c));
}

bool bd_core_hears_leader(const struct bd_core *c)
{
    return leader_peer(c) >= 0;
}

struct bd_report *bd_report_copy(const struct bd_report *r)
{
    struct bd_report *k = malloc(sizeof *k);
    if (!k)
        abort();
    *k = *r;
    k->tasks = calloc(r->n + 1, sizeof *k->tasks);
    if (!k->tasks)
        abort();
    memcpy(k->tasks, r->tasks, r->n * sizeof *k->tasks);
    return k;
}

static uint32_t waiting(const struct bd_core *c)
{
    uint32_t n = 0;
    for (const struct bd_forward *f = c->forwards; f; f = f->next)
        n++;
    return n;
}

/* Whether the controller is in touch with the state service, the leader and us. */
static bool can_pass_on(const struct bd_core *c, int i)
{
    return c->peers[i].flags & BD_PEER_STATE && c->peers[i].flags & BD_PEER_HEARS &&
           !(bd_between(c->peers[i].heard, c->now) > LEADER_SILENT_S);
}

/* A controller that hears the leader whom we do not hear, one of our own zone first; or -1. */
static int relay(const struct bd_core *c)
{
    int found = -1;
    for (int i = 0; i < c->settings->npeers; i++) {
        if (i == bd_leader_index(c) || !can_pass_on(c, i))
            continue;
        if (bd_peer_near(c, i))
            return i;
        found = found < 0 ? i : found;
    }
    return found;
}

static bool send_on(struct bd_core *c, void *request, const struct bd_report *r, const char *body,
                    size_t len, int peer)
{
    int most =
        c->settings->max_sockets > FORWARDS_LEAST ? c->settings->max_sockets : FORWARDS_LEAST;
    if (peer < 0 || waiting(c) >= (uint32_t)most)
        return false;
    struct bd_forward *f = calloc(1, sizeof *f);
    if (!f)
        return false;
    f->id = ++c->forward_n;
    f->request = request;
    f->report = bd_report_copy(r);
    f->until = bd_add(c->now, bd_secs(ANSWER_S));
    f->next = c->forwards;
    c->forwards = f;
    struct bd_effect *e = bd_emit(c, BD_E_FORWARD);
    e->machine = (uint32_t)peer;
    e->token = f->id;
    e->body = strndup(body, len);
    return true;
}

/* True if the report is on its way to the leader; it is answered, or its time runs out. Where two
 * zones are apart, a third one may still be in touch with both. */
bool bd_forward_checkin(struct bd_core *c, void *request, const struct bd_report *r,
                        const char *body, size_t len)
{
    int peer = leader_peer(c);
    if (peer >= 0 && !passed_on(c, r, peer))
        return false;
    if (peer < 0 && other_leads(c))
        peer = relay(c);
    return send_on(c, request, r, body, len, peer);
}

/* A report that another controller, which does not hear the leader, passes on to him through us.
 * Only to him, so that none goes round. */
bool bd_forward_relay(struct bd_core *c, struct bd_remote *q, const struct bd_report *r,
                      const char *body, size_t len)
{
    int peer = leader_peer(c);
    return peer != q->peer && send_on(c, q, r, body, len, peer);
}

void bd_report_free(struct bd_report *r)
{
    bd_wire_report_drop(r);
    free(r);
}

static void drop(struct bd_forward *f)
{
    bd_report_free(f->report);
    free(f);
}

static void fall_back(struct bd_core *c, struct bd_forward *f)
{
    const struct bd_remote *q = f->request;
    if (q && q->remote) { /* its own controller decides what becomes of it */
        bd_reply(c, f->request, 421, bd_wire_redirect(""), 0);
        return;
    }
    if (c->role == BD_FOLLOWER && bd_delegate_checkin(c, f->request, f->report))
        return;
    bd_forward_away(c, f->request, f->report);
}

void bd_core_answered(struct bd_core *c, uint64_t id, int status, const char *body, size_t len)
{
    struct bd_forward **at = &c->forwards;
    while (*at && (*at)->id != id)
        at = &(*at)->next;
    struct bd_forward *f = *at;
    if (!f)
        return; /* too late: the worker was answered otherwise */
    *at = f->next;
    if (status == 200 && body)
        bd_reply(c, f->request, 200, strndup(body, len), 0);
    else
        fall_back(c, f);
    drop(f);
}

void bd_forward_tick(struct bd_core *c)
{
    struct bd_forward **at = &c->forwards;
    while (*at) {
        struct bd_forward *f = *at;
        if (bd_before(c->now, f->until)) {
            at = &f->next;
            continue;
        }
        *at = f->next;
        fall_back(c, f);
        drop(f);
    }
}

/* As leader: the controller of the machine's own zone that it should report to, or -1. In our own
 * zone the others are for while another zone is cut off: if we end then, workers that were with us
 * all try the next nodes in turn, where those beyond the cut let them hang. */
int bd_forward_redirect(struct bd_core *c, struct bd_machine *m, const struct bd_report *r)
{
    int found = -1, n = 0;
    if ((strcmp(r->zone, c->settings->zone) == 0 && !zone_silent(c)) || !bd_core_valid(c) ||
        (!bd_is_zero(m->redirected) && bd_between(m->redirected, c->now) < REDIRECT_S))
        return -1;
    for (int i = 0; i < c->settings->npeers; i++) {
        if (strcmp(c->settings->peers[i].zone, r->zone) != 0 || !can_pass_on(c, i))
            continue;
        n++;
        if (found < 0 || m->index % (uint32_t)n == 0)
            found = i;
    }
    if (found >= 0)
        m->redirected = c->now;
    return found;
}

/* As leader: whether most of the machines that reported to us directly are silent at once. Machines
 * do not fail together like that; more likely it is we who are cut off from them. */
void bd_forward_listen(struct bd_core *c)
{
    uint32_t known = 0, silent = 0;
    double late = 1.5 * bd_to_secs(c->settings->report) + 0.5;
    for (uint32_t i = 0; i < c->nmachines; i++) {
        const struct bd_machine *m = c->by_index[i];
        double ago = bd_between(m->heard, c->now);
        if (m->gone || !m->direct || ago > late + bd_to_secs(c->settings->lease))
            continue;
        known++;
        silent += ago > late;
    }
    c->inbound_cut = known >= INBOUND_CUT_LEAST && silent >= INBOUND_CUT_SHARE * known;
}
