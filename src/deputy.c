/* Deputies: a follower whose workers cannot reach the leader (their zone is cut off from it)
 * answers their reports in its stead, so that their leases go on and their work survives.
 *
 * What makes it safe: a deputy writes the machines it answers into its own record, conditional on
 * the leader's term, before it answers them, confirms the record every BEAT_S and stops
 * DEPUTY_FRESH_S after the last confirmation was sent. A machine stays in the record for keep_s
 * after its last answer. The leader looks at all records; it never counts a lease as over while
 * a look shows the machine, nor before a look begun after the lease's end. It drops the record of
 * a deputy that no longer confirms. A deputy gives no command but halts of withdrawn jobs.
 *
 * While nobody leads, the record is conditional on the leader's key being absent, and answers go on
 * with the last term's token: a new leader counts with answers until DEPUTY_FRESH_S after its gain,
 * and no such record is written once it has its key. */
#include "brambledoor/frame.h"
#include "core_in.h"
#include <stdio.h>

/* named defaults */
#define CONFIRM_S 0.5
#define KEEP_LEAST_S 3.0
#define AWAY_S 30.0 /* a dismissed deputy is named so long in the leader's key */
#define STALE_S 5.0
#define GAP_S 2.5          /* between looks: shorter than keep_s, so that none can slip through */
#define RECORD_SHARE 0.9   /* of the largest value that the state service takes */
#define RECORD_HEAD 64u    /* bytes of the record beside the machines' names */
#define ASK_S 2.4          /* a worker waits so long for the record; it gives up after 4 s */
#define AGAIN_S 0.15       /* after a refused write: the leader's key is looked at about as often */
#define PROBE_S 6.0        /* before a canary is sent, and after one came back */
#define SOON_S 1.5         /* ... when no other controller is heard at all */
#define GATHER_S 2.5       /* in which the workers of one batch are sent */
#define PATIENT_S 40.0     /* then one with tasks may be sent too */
#define WORKER_WAITS_S 4.0 /* the platform's: a worker waits so long for an answer, */
#define WORKER_PAUSE_S 1.0 /* and goes to the next node after this */

struct bd_wait_checkin {
    void *request;
    struct bd_report *report;
    struct timespec asked;
    struct bd_wait_checkin *next;
};

/* Longer than a worker's pause between two reports: one that left the record in between would be
 * new to it each time. */
static double keep_s(const struct bd_core *c)
{
    double s = 1.25 * bd_to_secs(c->settings->report) + 2.0;
    return s > KEEP_LEAST_S ? s : KEEP_LEAST_S;
}

static void key_of(const struct bd_core *c, char *key, size_t cap)
{
    snprintf(key, cap, "p/%.60s", c->settings->node);
}

static bool leader_silent(const struct bd_core *c)
{
    int i = bd_leader_index(c);
    return i >= 0 && bd_between(c->peers[i].heard, c->now) > LEADER_SILENT_S;
}

/* Nobody leads: the last one has died, the next is not chosen yet. */
static bool leaderless(const struct bd_core *c)
{
    return !*c->leader_name && !c->leader_term && c->last_term;
}

/* By a fresh view somebody else leads, and we do not hear of him; or nobody does. Workers sent
 * round then would find nobody either, and in a cut zone half of the nodes would let them hang. */
static bool called_for(const struct bd_core *c)
{
    bool other = *c->leader_name && c->leader_term && leader_silent(c);
    return c->role == BD_FOLLOWER && !c->delegate.dismissed && (other || leaderless(c)) &&
           bd_between(c->leader_seen, c->now) < DELEGATE_FRESH_S;
}

/* Machines that one part of the record can name, by the longest name there is room for so far. */
static uint32_t part_holds(const struct bd_core *c)
{
    size_t longest = 1;
    for (uint32_t i = 0; i < c->delegate.nserved; i++) {
        size_t len = strlen(c->delegate.served[i].id);
        longest = len > longest ? len : longest;
    }
    double n = (RECORD_SHARE * (double)c->limits.value_bytes - RECORD_HEAD) / (double)(longest + 3);
    return n < 1 ? 1 : (uint32_t)n;
}

/* They are written together: no more than one transaction takes. */
static uint32_t most_parts(const struct bd_core *c)
{
    return c->limits.txn_ops < BD_DELEGATE_PARTS ? (uint32_t)c->limits.txn_ops : BD_DELEGATE_PARTS;
}

/* Whether the record has room for one more name; else the worker is sent on. */
static bool record_takes(const struct bd_core *c, const char *id)
{
    uint32_t most = part_holds(c) * most_parts(c);
    if (c->delegate.nserved < most && strlen(id) + RECORD_HEAD < c->limits.value_bytes)
        return true;
    bd_say(c->log, BD_ERROR, "a deputy's record is full with %u machines", c->delegate.nserved);
    return false;
}

static struct bd_served *served_of(struct bd_core *c, const char *id, bool add)
{
    struct bd_delegate *d = &c->delegate;
    for (uint32_t i = 0; i < d->nserved; i++)
        if (strcmp(d->served[i].id, id) == 0)
            return &d->served[i];
    if (!add || !record_takes(c, id))
        return NULL;
    if (d->nserved == d->cap_served) {
        uint32_t cap = d->cap_served ? d->cap_served * 2 : 16;
        struct bd_served *p = realloc(d->served, cap * sizeof *p);
        if (!p)
            return NULL;
        d->served = p;
        d->cap_served = cap;
    }
    struct bd_served *k = &d->served[d->nserved++];
    memset(k, 0, sizeof *k);
    snprintf(k->id, sizeof k->id, "%s", id);
    k->heard = c->now;
    return k;
}

/* ---- our own record ---- */

/* Several hundred machines do not fit one value: the parts are written together. */
static void set_part(struct bd_core *c, struct bd_txn *t, uint32_t part, uint32_t each)
{
    struct bd_delegate *d = &c->delegate;
    char key[BD_LABEL + 16];
    json_t *names = json_array();
    key_of(c, key, BD_LABEL);
    if (part > 0)
        snprintf(key + strlen(key), 16, "/%u", part);
    for (uint32_t i = part * each; i < (part + 1) * each && i < d->nserved; i++) {
        json_array_append_new(names, json_string(d->served[i].id));
        d->served[i].sent = true;
    }
    bd_txn_set(t, key, json_pack("{s:I,s:o}", "t", (json_int_t)d->term, "m", names), 0);
}

static void write_record(struct bd_core *c)
{
    struct bd_delegate *d = &c->delegate;
    struct bd_txn t;
    char key[BD_LABEL];
    struct bd_effect *e = bd_emit(c, BD_E_DELEGATE);
    key_of(c, key, sizeof key);
    snprintf(e->key, sizeof e->key, "%s", key);
    d->busy = true;
    d->next_confirm = bd_add(c->now, bd_secs(CONFIRM_S));
    if (!d->mark_known)
        return; /* an earlier process's record may stand: its mark first */
    d->term = c->leader_term ? c->leader_term : c->last_term;
    d->leader = c->leader_term;
    if (!bd_txn_start(&t))
        abort();
    bd_txn_if(&t, "leader", d->leader);
    bd_txn_if(&t, key, d->mark);
    uint32_t each = part_holds(c), parts = (d->nserved + each - 1) / each;
    if (parts > most_parts(c)) { /* the limits were lowered: who is not in the record is sent on */
        parts = most_parts(c);
        d->nserved = parts * each;
    }
    d->parts = d->parts < most_parts(c) ? d->parts : most_parts(c);
    /* a part that is needed no more is written empty, so that it names nobody */
    d->parts = parts > d->parts ? parts : d->parts ? d->parts : 1;
    for (uint32_t part = 0; part < d->parts; part++)
        set_part(c, &t, part, each);
    e->body = bd_txn_end(&t);
}

/* The record is written by other means than the records of jobs are read: both must be new. */
static bool may_answer(const struct bd_core *c)
{
    return bd_before(c->now, c->delegate.confirmed_until) && bd_may_renew(c);
}

/* Halts of what users have withdrawn: nobody's leave is needed for these. */
static char *orders(struct bd_core *c, const struct bd_report *r, uint64_t term)
{
    struct bd_order *o = calloc(r->n + 1, sizeof *o);
    size_t n = 0;
    if (!o)
        abort();
    for (size_t i = 0; i < r->n; i++) {
        const struct bd_seen_task *s = &r->tasks[i];
        struct bd_job *j = bd_job_find(c, s->job);
        if (!j || j->state != BD_CANCELLED || s->sub == BD_EXITED)
            continue;
        o[n].verb = BD_HALT;
        memcpy(o[n].job, s->job, sizeof o[n].job);
        o[n].task = s->task;
        o[n++].attempt = s->attempt;
    }
    char *text = bd_wire_orders(term, 0, o, n);
    free(o);
    return text;
}

/* Answers who asked; those who came while the record was being written wait for the next one. */
static void answer_asking(struct bd_core *c, bool all)
{
    struct bd_wait_checkin *w = c->delegate.asking;
    c->delegate.asking = NULL;
    while (w) {
        struct bd_wait_checkin *next = w->next;
        struct bd_served *k = served_of(c, w->report->machine, false);
        bool ready = k && k->confirmed && may_answer(c);
        bool stands_by = !ready && bd_standby_answers(c, w->report);
        bool waits = (k && !all) || bd_standby_near(c, w->report);
        if (!ready && !stands_by && waits && bd_between(w->asked, c->now) < ASK_S) {
            w->next = c->delegate.asking;
            c->delegate.asking = w;
            w = next;
            continue;
        }
        uint64_t term = ready ? c->delegate.term : c->last_term;
        bool good = ready || stands_by;
        bd_reply(c, w->request, good ? 200 : 421,
                 good ? orders(c, w->report, term) : bd_wire_redirect(""), 0);
        bd_report_free(w->report);
        free(w);
        w = next;
    }
}

void bd_core_delegate_committed(struct bd_core *c, long status, uint64_t ring, struct timespec sent,
                                bool mark_known)
{
    struct bd_delegate *d = &c->delegate;
    d->busy = false;
    d->mark_known = mark_known;
    if (mark_known)
        d->mark = ring;
    if (status == 200) {
        d->confirmed_until = bd_add(sent, bd_secs(DELEGATE_FRESH_S * (1 - DRIFT)));
        for (uint32_t i = 0; i < d->nserved; i++)
            d->served[i].confirmed |= d->served[i].sent;
    }
    if (status == 0 && mark_known) { /* now the record itself */
        d->next_confirm = c->now;
        return;
    }
    if (status == 400)
        (void)bd_limits_refused(c, "the deputy's record");
    if (status != 200)
        bd_say(c->log, BD_INFO, "the deputy's record was not written: status %ld", status);
    /* a leader's key that was only rewritten is no reason to send the workers round */
    answer_asking(c, status != 200 && status != 409);
    if (d->asking)
        d->next_confirm = status == 200 ? c->now : bd_add(c->now, bd_secs(AGAIN_S));
}

void bd_delegate_end(struct bd_core *c)
{
    c->delegate.confirmed_until = (struct timespec){0, 0};
    answer_asking(c, true);
    c->delegate.nserved = 0;
}

void bd_delegate_tick(struct bd_core *c)
{
    struct bd_delegate *d = &c->delegate;
    if (d->asking)
        answer_asking(c, false);
    bool had = d->nserved > 0;
    for (uint32_t i = 0; i < d->nserved;) {
        if (!d->busy && bd_between(d->served[i].heard, c->now) > keep_s(c))
            d->served[i] = d->served[--d->nserved];
        else
            i++;
    }
    /* the last one's going is written too, so that the leader need not wait for the record */
    if (!had || d->busy || (d->nserved > 0 && bd_before(c->now, d->next_confirm)))
        return;
    /* with the leader in view again nobody is answered, but the record stands for keep_s */
    if ((c->leader_term || leaderless(c)) && bd_between(c->leader_seen, c->now) < DELEGATE_FRESH_S)
        write_record(c);
    else if (d->asking)
        answer_asking(c, true);
}

/* The longest way round for a worker: every other node hangs, and a pause after each. */
static double way_back_s(const struct bd_core *c)
{
    return c->settings->npeers * (WORKER_WAITS_S + WORKER_PAUSE_S) + 2.0;
}

/* Not even the others of our own zone are heard: it is not the zone that is cut off. Connections
 * between the controllers may be refused while the workers reach them all. */
static bool nobody_heard(const struct bd_core *c)
{
    bool mates = false;
    for (int i = 0; i < c->settings->npeers; i++) {
        mates |= bd_peer_near(c, i);
        if (bd_peer_heard(c, i, LEADER_SILENT_S))
            return false;
    }
    return mates;
}

static bool may_go(const struct bd_core *c, const struct bd_report *r)
{
    const struct bd_delegate *d = &c->delegate;
    return r->n == 0 || bd_to_secs(c->settings->lease) > way_back_s(c) || d->batch > 1 ||
           bd_between(d->since, c->now) > (nobody_heard(c) ? SOON_S : PATIENT_S);
}

static bool send_probe(struct bd_core *c, const struct bd_report *r)
{
    struct bd_delegate *d = &c->delegate;
    if (!may_go(c, r) || d->nprobes == BD_PROBES)
        return false;
    snprintf(d->probes[d->nprobes++], BD_LABEL, "%s", r->machine);
    return true;
}

static bool came_back(const struct bd_delegate *d, const struct bd_report *r)
{
    for (uint32_t i = 0; i < d->nprobes; i++)
        if (strcmp(d->probes[i], r->machine) == 0)
            return true;
    return false;
}

/* We may be the one who is cut off from the leader, and the workers not: then they would be kept
 * from him for nothing. So one with nothing to lose is sent to him; if it does not come back, two
 * more, and so on. A worker may stay away for another reason (its machine went back), which is why
 * not all are sent at once. True: this one goes. */
static bool try_leader(struct bd_core *c, const struct bd_report *r)
{
    struct bd_delegate *d = &c->delegate;
    double ago = bd_between(d->probes_at, c->now);
    if (d->nserved == 0) {
        d->nprobes = 0;
        d->batch = 1;
        d->probes_at = d->since = c->now;
        return false;
    }
    if (came_back(d, r)) {
        d->nprobes = 0;
        d->batch = 1;
        d->probes_at = c->now;
        return false;
    }
    if (d->nprobes > 0 && ago <= way_back_s(c))
        return d->nprobes < d->batch && ago < GATHER_S && send_probe(c, r);
    if (d->nprobes > 0) {
        bd_say(c->log, BD_INFO, "%u workers did reach %s, whom we do not hear", d->nprobes,
               c->leader_name);
        d->batch = d->batch * 2 < BD_PROBES ? d->batch * 2 : BD_PROBES;
        d->nprobes = 0;
    } else if (ago < (nobody_heard(c) ? SOON_S : PROBE_S)) {
        return false;
    }
    if (!send_probe(c, r))
        return false;
    d->probes_at = c->now;
    return true;
}

/* Whether another controller of our zone does not hear the leader either: then the zone is cut off
 * from him, not we alone. */
static bool zone_cut(const struct bd_core *c)
{
    for (int i = 0; i < c->settings->npeers; i++)
        if (bd_peer_near(c, i) && i != bd_leader_index(c) && c->peers[i].flags & BD_PEER_STATE &&
            !(c->peers[i].flags & BD_PEER_HEARS) && bd_peer_heard(c, i, LEADER_SILENT_S))
            return true;
    return false;
}

static void let_wait(struct bd_core *c, void *request, const struct bd_report *r)
{
    struct bd_wait_checkin *w = calloc(1, sizeof *w);
    if (!w)
        abort();
    w->request = request;
    w->report = bd_report_copy(r);
    w->asked = c->now;
    w->next = c->delegate.asking;
    c->delegate.asking = w;
}

/* True if the report was answered, or will be once the record is confirmed or we stand by. */
bool bd_delegate_checkin(struct bd_core *c, void *request, const struct bd_report *r)
{
    struct bd_delegate *d = &c->delegate;
    if (bd_standby_answers(c, r)) {
        bd_reply(c, request, 200, orders(c, r, c->last_term), 0);
        return true;
    }
    if (!called_for(c)) {
        bool near = bd_standby_near(c, r);
        if (near)
            let_wait(c, request, r);
        return near;
    }
    if (!leaderless(c) && !zone_cut(c) && try_leader(c, r))
        return false;
    struct bd_served *k = served_of(c, r->machine, true);
    if (!k)
        return false;
    k->heard = c->now;
    if (k->confirmed && d->leader == c->leader_term && may_answer(c)) {
        bd_reply(c, request, 200, orders(c, r, d->term), 0);
        return true;
    }
    let_wait(c, request, r);
    if (d->nserved == 1)
        bd_say(c->log, BD_INFO, "%s is not heard: answers its workers, first %s", c->leader_name,
               r->machine);
    d->next_confirm = c->now;
    return true;
}

/* ---- the leader's view ---- */

static struct bd_delegate_seen *seen_of(struct bd_core *c, const char *key)
{
    for (int i = 0; i < c->ndelegates; i++)
        if (strcmp(c->delegates[i].key, key) == 0)
            return &c->delegates[i];
    if (c->ndelegates == (int)(sizeof c->delegates / sizeof *c->delegates))
        return NULL;
    struct bd_delegate_seen *s = &c->delegates[c->ndelegates++];
    memset(s, 0, sizeof *s);
    snprintf(s->key, sizeof s->key, "%s", key);
    return s;
}

static void read_record(struct bd_core *c, const struct bd_change *ch)
{
    json_t *v;
    size_t i;
    const char *tail = strchr(ch->key + 2, '/');
    if (tail && strcmp(tail, "/at") == 0) {
        char node[BD_LABEL];
        snprintf(node, sizeof node, "%.*s", (int)(tail - ch->key - 2), ch->key + 2);
        bd_standby_record(c, node, json_number_value(json_object_get(ch->value, "at")));
        return;
    }
    struct bd_delegate_seen *s = seen_of(c, ch->key + 2);
    if (s && ch->mark != s->mark) {
        s->mark = ch->mark;
        s->changed = c->now;
    }
    if (s && bd_between(s->changed, c->now) > STALE_S)
        snprintf(c->stale_delegate, sizeof c->stale_delegate, "%s", ch->key);
    json_array_foreach(json_object_get(ch->value, "m"), i, v)
    {
        struct bd_machine *m = NULL;
        const char *id = json_string_value(v);
        if (id)
            HASH_FIND_STR(c->machines, id, m);
        if (m)
            m->delegated = true;
        if (m && s)
            m->delegate = (int)(s - c->delegates);
    }
}

/* A worker out of a deputy's record reports to the leader himself: the two controllers do not hear
 * each other, but the workers are not cut off. The deputy is told so by the leader's key, which he
 * looks at; his workers then come. */
void bd_delegate_needless(struct bd_core *c, const struct bd_machine *m)
{
    if (m->delegate >= c->ndelegates)
        return;
    struct bd_delegate_seen *s = &c->delegates[m->delegate];
    if (bd_is_zero(s->dismissed) || bd_between(s->dismissed, c->now) > AWAY_S) {
        bd_say(c->log, BD_INFO, "%s answers for us needlessly: %s came here", s->key, m->id);
        c->want_token_raise = true;
    }
    s->dismissed = c->now;
}

/* For the leader's key; the caller owns the list. */
json_t *bd_dismissed(const struct bd_core *c)
{
    json_t *list = json_array();
    for (int i = 0; i < c->ndelegates; i++)
        if (!bd_is_zero(c->delegates[i].dismissed) &&
            bd_between(c->delegates[i].dismissed, c->now) < AWAY_S)
            (void)json_array_append_new(
                list, json_stringn(c->delegates[i].key, strcspn(c->delegates[i].key, "/")));
    return list;
}

void bd_core_delegates(struct bd_core *c, json_t *pairs, struct timespec sent)
{
    struct bd_change ch;
    json_t *v;
    size_t i;
    if (c->role != BD_LEADER)
        return;
    bool gap = bd_between(c->delegates_read, sent) > GAP_S;
    struct timespec end = bd_lease_end(c, bd_add(c->now, bd_secs(DELEGATE_FRESH_S)));
    for (uint32_t k = 0; k < c->nmachines; k++) {
        struct bd_machine *m = c->by_index[k];
        if (m->delegated || gap) /* it may have been answered until now, and a little longer */
            m->lapse_at = bd_max(m->lapse_at, end);
        m->delegated = false;
    }
    json_array_foreach(pairs, i, v)
    {
        if (bd_wire_change(v, &ch) && strncmp(ch.key, "p/", 2) == 0)
            read_record(c, &ch);
    }
    for (uint32_t k = 0; k < c->nmachines; k++)
        if (c->by_index[k]->delegated)
            c->by_index[k]->lapse_at = bd_max(c->by_index[k]->lapse_at, end);
    c->delegates_read = sent;
}
